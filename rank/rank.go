package rank

import (
	"math"
	"sync"
	"time"
)

const (
	// weight is the share of a new latency in the average, about that of the last five.
	weight = 0.2
	// halfLife is the time after which half of what a target's latency exceeds its prior by is forgotten, so that a slow target is tried again.
	halfLife = 4 * time.Second
	// failWeight is the share of a new outcome in the failure rate.
	failWeight = 0.25
	// failHalfLife is the time after which half of a failure rate is forgotten.
	failHalfLife = 2 * time.Second
	// stallPenalty is added to the estimate of a target with an overdue request: the rest of a typical pause.
	stallPenalty = 120 * time.Millisecond
	// deadPenalty is added to the estimate of a target that refused a connection lately, so that it comes last.
	deadPenalty = 5 * time.Second
	// deadFirst and deadMost bound the time for which a target that can't be reached is left out.
	deadFirst = 500 * time.Millisecond
	deadMost  = 4 * time.Second
	// priorDev bounds the deviation that is expected of a target that isn't known: that of the work, which the distance adds nothing to.
	priorDev = 8 * time.Millisecond
	// devWeight is the number of mean deviations above the average from which a request is overdue.
	devWeight = 3
	// mostPause bounds the length of a pause: requests that are held up for longer than one are at a slow target.
	mostPause = 250 * time.Millisecond
	// leastSamples is the number of latencies from which one that is far above the others is taken for a pause.
	leastSamples = 3
	// silentLeast and silentMeans bound the time without any answer after which a target counts as silent: it covers pauses, and work that takes several times as long as usual.
	silentLeast = 400 * time.Millisecond
	silentMeans = 8
	// silentMisses is the least number of requests without an answer for that.
	silentMisses = 2
	// overdueSlack is added to that, for the processor's and the network's jitter.
	overdueSlack = 6 * time.Millisecond
)

// Flight is a request that is under way at a target.
type Flight struct {
	start time.Time
}

// Rank is what is known of one target.
type Rank struct {
	born  time.Time
	prior time.Duration

	mu sync.Mutex
	// mean and dev are the moving average of the latency and of its deviation.
	mean, dev float64
	at        time.Time
	samples   int
	// fails is the moving share of failures.
	fails   float64
	failsAt time.Time
	// dead is the time until which the target is left out, after which it gets one request.
	dead    time.Time
	backoff time.Duration
	flights map[*Flight]struct{}
	// reserved counts the requests that may be sent and haven't been yet.
	reserved int
	// unanswered is the start of the first request since the last answer, zero where all are answered; misses counts those that ended without one.
	unanswered time.Time
	misses     int
	// usual is the moving average of the latency of whole answers only.
	usual float64
	// stalled is the start of the first request that was held up since the last one that wasn't, zero where none was.
	stalled time.Time
	rhythm  *rhythm
	pauses  pauses
}

// Table holds the ranks by target.
type Table struct {
	ranks  sync.Map
	rhythm rhythm
}

// Of returns the rank of a target that started at born, zero where that isn't told; prior is the latency that is expected of one that isn't known.
func (t *Table) Of(id string, born time.Time, prior time.Duration) *Rank {
	known, found := t.ranks.Load(id)
	if found && known.(*Rank).born.Equal(born) {
		return known.(*Rank)
	}
	fresh := &Rank{
		born:    born,
		prior:   prior,
		mean:    float64(prior),
		usual:   float64(prior),
		dev:     float64(min(prior/2, priorDev)),
		flights: map[*Flight]struct{}{},
		rhythm:  &t.rhythm,
	}
	if found {
		// What was learned of the process before says nothing of this one.
		if t.ranks.CompareAndSwap(id, known, fresh) {
			return fresh
		}
		return t.Of(id, born, prior)
	}
	r, _ := t.ranks.LoadOrStore(id, fresh)
	return r.(*Rank)
}

// Keep forgets the targets that known doesn't name.
func (t *Table) Keep(known func(id string) bool) {
	t.ranks.Range(func(id, _ any) bool {
		if !known(id.(string)) {
			t.ranks.Delete(id)
		}
		return true
	})
}

// Reserve takes the permission for one request unless most are under way or reserved already; it ends with BeginReserved or Release.
func (r *Rank) Reserve(most int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.flights)+r.reserved >= most {
		return false
	}
	r.reserved++
	return true
}

// Release gives a reservation back that nothing was sent with.
func (r *Rank) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserved--
}

// BeginReserved notes a request that is sent with a reservation.
func (r *Rank) BeginReserved(now time.Time) *Flight {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserved--
	return r.begin(now)
}

// Begin notes a request that is sent to the target without a reservation.
func (r *Rank) Begin(now time.Time) *Flight {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begin(now)
}

// begin notes a request; the lock is held.
func (r *Rank) begin(now time.Time) *Flight {
	f := &Flight{start: now}
	r.flights[f] = struct{}{}
	if r.unanswered.IsZero() {
		r.unanswered = now
	}
	return f
}

// Outcome is how a request ended at a target.
type Outcome uint8

// Outcomes of a request.
const (
	// Answered is a whole answer.
	Answered Outcome = iota
	// Failed is an answer or an end of the connection that is no success.
	Failed
	// Unanswered is a request whose time was over without a sign of the target.
	Unanswered
	// Dead is a target that can't be reached or isn't the one that was meant.
	Dead
	// Dropped is a request that nobody waits for any more.
	Dropped
)

// End notes how a request ended.
func (r *Rank) End(f *Flight, now time.Time, o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.flights, f)
	took := now.Sub(f.start)
	switch o {
	case Answered, Failed:
		r.unanswered, r.misses = time.Time{}, 0
		if len(r.flights) > 0 {
			r.unanswered = now
		}
	default:
		r.misses++
	}
	switch o {
	case Answered:
		if took > r.overdue(now) && r.samples >= leastSamples {
			r.pause(now, took, time.Duration(r.mean))
		}
		told, counts := r.typical(f.start, now, took)
		if counts {
			r.usual += weight * (float64(told) - r.usual)
		}
		// What a regular pause adds says nothing of the time that the target takes between them.
		if counts && (!r.pauses.regular || now.Sub(r.pauses.last) > samePause) {
			r.learn(now, told)
		}
		r.fail(now, 0)
		r.dead, r.backoff = time.Time{}, 0
	case Failed, Unanswered:
		r.fail(now, 1)
	case Dead:
		r.fail(now, 1)
		r.backoff = min(max(2*r.backoff, deadFirst), deadMost)
		r.dead = now.Add(r.backoff)
	case Dropped:
		if told, counts := r.typical(f.start, now, took); counts && float64(took) > r.mean {
			r.learn(now, told)
		}
	}
}

// typical returns what a latency says of the target's usual one, and whether it says anything; the lock is held.
//
// A pause holds up all requests at the target, which would make it look slow and its hedges late for seconds: of those, one counts, as a late answer.
func (r *Rank) typical(began, now time.Time, took time.Duration) (told time.Duration, counts bool) {
	overdue := r.overdue(now)
	first := r.stalled.IsZero()
	switch {
	case took <= overdue:
		r.stalled = time.Time{}
		return took, true
	case first:
		r.stalled = began
		return overdue, r.samples > 0
	case began.Sub(r.stalled) <= mostPause:
		return 0, false
	default:
		return took, true
	}
}

func (r *Rank) learn(now time.Time, took time.Duration) {
	d := float64(took)
	if r.samples == 0 {
		r.mean = d
	} else {
		mean := r.current(now)
		r.dev += weight * (math.Abs(d-mean) - r.dev)
		r.mean = mean + weight*(d-mean)
	}
	r.samples++
	r.at = now
}

// current returns the average, moved towards the prior by the time since the last latency; the lock is held.
func (r *Rank) current(now time.Time) float64 {
	excess := r.mean - float64(r.prior)
	if r.at.IsZero() || excess <= 0 {
		return r.mean
	}
	return float64(r.prior) + excess*math.Exp2(-now.Sub(r.at).Seconds()/halfLife.Seconds())
}

func (r *Rank) fail(now time.Time, value float64) {
	f := r.failing(now)
	r.fails = f + failWeight*(value-f)
	r.failsAt = now
}

func (r *Rank) failing(now time.Time) float64 {
	return r.fails * math.Exp2(-now.Sub(r.failsAt).Seconds()/failHalfLife.Seconds())
}

// overdue returns the age from which a request is late; the lock is held.
func (r *Rank) overdue(now time.Time) time.Duration {
	return time.Duration(r.current(now)+devWeight*r.dev) + overdueSlack
}

// Overdue returns the age from which a request at the target is late.
func (r *Rank) Overdue(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overdue(now)
}

// Estimate returns how long a request that is sent now is expected to take, with a penalty for a target that seems stalled, fails or can't be reached; slots is the number of requests that the target works on at once.
func (r *Rank) Estimate(now time.Time, slots int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	mean := r.current(now)
	estimate := mean*(1+float64(len(r.flights))/float64(max(slots, 1))) + float64(r.foreseen(now, time.Duration(mean)))
	estimate += r.failing(now) * max(4*mean, float64(stallPenalty))
	overdue := r.overdue(now)
	for f := range r.flights {
		if now.Sub(f.start) > overdue {
			estimate += float64(stallPenalty)
			break
		}
	}
	if now.Before(r.dead) {
		estimate += float64(deadPenalty)
	}
	return time.Duration(estimate)
}

// Silent reports whether the target hasn't answered for so long, or can't be reached, that an answer isn't to be expected.
func (r *Rank) Silent(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.dead) {
		return true
	}
	if r.unanswered.IsZero() || r.misses+len(r.flights) < silentMisses {
		return false
	}
	return now.Sub(r.unanswered) > max(silentLeast, time.Duration(silentMeans*r.usual))
}

// Usual returns the latency of the target's whole answers, without its pauses' and failures' effect on what is expected.
func (r *Rank) Usual() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.usual)
}

// Under returns the number of requests under way at the target or reserved.
func (r *Rank) Under() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.flights) + r.reserved
}
