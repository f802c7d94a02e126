package relay

import "kingcupcross/fault"

// mayHaveRun reports whether something of the request has run or may still run.
func (q *run) mayHaveRun() bool {
	if q.asking > 0 {
		return true
	}
	for _, p := range q.parts {
		if p.open() > 0 {
			return true
		}
	}
	return q.ran
}

func fail(f *fault.Error) *Answer {
	return &Answer{Fault: f}
}

// failure returns what is said where no target can answer any more.
func (q *run) failure() *Answer {
	if !q.route.Fanout() && q.failed != nil && q.failed.Status >= 300 {
		return single(q.failed)
	}
	f := fault.New(fault.Failed, "%d of %d shards can't be had, %d are needed; last: %s", q.lost, len(q.parts), q.needed, q.cause)
	if !q.mayHaveRun() {
		f = q.afterQuiet(fault.New(fault.Overload, "no target took the request; last: %s", q.cause), q.engine.clock.Now())
	}
	return fail(f)
}

func single(r *Reply) *Answer {
	return &Answer{Status: r.Status, Header: r.Header, Body: r.Body, Signature: r.Signature}
}

func (q *run) success() *Answer {
	if !q.route.Fanout() {
		return single(q.parts[0].reply)
	}
	a := &Answer{Status: 200, Merged: true, Missing: len(q.parts) - q.done}
	bodies := make([][]byte, 0, q.done)
	for _, p := range q.parts {
		if p.reply != nil {
			a.Signatures = append(a.Signatures, p.reply.Signature)
			bodies = append(bodies, p.reply.Body)
		}
	}
	for _, m := range q.merged {
		a.Signatures = append(a.Signatures, m.Signatures...)
		bodies = append(bodies, m.Body)
	}
	a.Body = greatest(bodies, q.route.Top)
	return a
}
