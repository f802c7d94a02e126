package relay

import "kingcupcross/fault"

// mayHaveRun reports whether any part of the request may have run at a target or may still run.
func (q *query) mayHaveRun() bool {
	if q.openDelegations > 0 {
		return true
	}
	for _, p := range q.parts {
		if p.openCount() > 0 {
			return true
		}
	}
	return q.maybeRan
}

// faultAnswer returns an answer that carries only a fault.
func faultAnswer(f *fault.Error) *Answer {
	return &Answer{Fault: f}
}

// pathLostAnswer returns the answer to a request that waits for targets to which this host has lost its way.
func (q *query) pathLostAnswer() *Answer {
	q.exempt = true
	f := fault.New(fault.NoReplica, "this host has lost its way to the targets")
	f.Ran = q.mayHaveRun()
	a := faultAnswer(f)
	a.PathLost, a.AttemptsUsed = true, q.attemptsUsed()
	return a
}

// failureAnswer returns the answer to a request that can no longer succeed. A target's own error reply is passed on; the fault says that nothing ran only if that is certain.
func (q *query) failureAnswer() *Answer {
	if !q.route.Fanout() && q.lastFailure != nil && q.lastFailure.Status >= 300 {
		return singleAnswer(q.lastFailure)
	}
	f := fault.New(fault.Failed, "%d of %d shards can't be had, %d are needed; last: %s", q.lost, len(q.parts), q.needed, q.lastCause)
	if !q.mayHaveRun() {
		f = q.withTargetRetry(fault.New(fault.Overload, "no target took the request; last: %s", q.lastCause), q.engine.clock.Now())
	}
	return faultAnswer(f)
}

// singleAnswer returns a target's reply as the answer.
func singleAnswer(r *Reply) *Answer {
	return &Answer{Status: r.Status, Header: r.Header, Body: r.Body, Signature: r.Signature}
}

// successAnswer returns the reply of the single target, or the merged replies of the shards.
func (q *query) successAnswer() *Answer {
	if !q.route.Fanout() {
		return singleAnswer(q.parts[0].reply)
	}
	a := &Answer{Status: 200, Merged: true, Missing: len(q.parts) - q.answered}
	bodies := make([][]byte, 0, q.answered)
	for _, p := range q.parts {
		if p.reply != nil {
			a.Signatures = append(a.Signatures, p.reply.Signature)
			bodies = append(bodies, p.reply.Body)
		}
	}
	for _, m := range q.mergedAnswers {
		a.Signatures = append(a.Signatures, m.Signatures...)
		bodies = append(bodies, m.Body)
	}
	a.Body = topRecords(bodies, q.route.Top)
	return a
}
