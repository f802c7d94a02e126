// The change of a target's keeper between two hosts of one data centre, over hand-overs, lost answers, a crash, pauses and a cut that heals.
// guard: ASK
// guard: COUNTS
// guard: FLIGHT
// guard: FENCE
// guard: SHARE
// guard: PULSE
// guard: CONFIRM
// guard: LINGER
//
// Invariant: the requests of both hosts at the target are at most BEARS.
//
// Mapping to package keeper:
//   hold            gate.ownership (claim.go); any host may claim at any time, as views may differ in any way
//   run2, run1      gate.inFlight at the target, by the ticks that are left; they go on when their host ends
//   old2, old1      gate.reservations: what another host reported as running (inherit)
//   sees, silent    peerTracker: peer.silentSince, peerTracker.endedIncarnations (proof by a refused connection)
//   confirmed       peer.confirmed; needsRecheck and failedSince are the step to SILENT
//   linger          peerTracker.lingeringHosts: a host whose end is proved while it wasn't confirmed counts until its requests have ended
//   answer          wire.YieldReply on its way, which may be lost or late; a claim's number (YieldTarget.Claim) tells it from those to earlier claims
//   fenced, lapsed  board.PauseDetector and gate.pauseCount
//   allowed         limitShare (hostcounts.go) of a limit of one among two hosts: the first host gets it
// Time is in ticks: FLIGHT stands for maxRequestTime, DETECT for maxDetectionTime, PULSE for board.PauseThreshold.

#define BEARS 1
#define FLIGHT 2
#define DETECT 1
#define PULSE 1
#define WAIT (DETECT + PULSE + FLIGHT)

#define IDLE 0
#define CLAIM 1
#define HELD 2

#define PRESENT 0
#define SILENT 1
#define ENDED 2

// At most FAULTS of the faults happen: a pause of either host, a crash, a cut that heals.
#ifndef FAULTS
#define FAULTS 2
#endif

#define peer (1 - h)

byte hold[2];
byte run2[2], run1[2];
byte old2[2], old1[2];
byte sees[2], silent[2];
bool confirmed[2] = true;
byte waited[2];
bool answered[2];
byte handed[2]; // for how long it counts that the right was handed over

bool succ[2]; // the right was given to the other host's present claim
bool crashed[2], paused[2], fenced[2], lapsed[2], hasPaused[2];
byte pausedFor[2], blind[2], linger[2];
bool cut, hasCut, hasCrashed;
byte faults;

// The answer on its way to each host.
bool sent[2], late[2], forClaim[2], ansHanded[2], ansRefused[2];
byte ans2[2], ans1[2];

#define running(x) (!crashed[x] && !paused[x])
#define reaches(x, y) (running(x) && running(y) && !cut)
#define atTarget (run1[0] + run2[0] + run1[1] + run2[1])
#define busy(x) (run1[x] + run2[x] + old1[x] + old2[x])

#ifndef NO_SHARE
#define part(x) (x == 0 -> BEARS : 0)
#else
#define part(x) BEARS
#endif

#ifndef NO_CONFIRM
#define whole(x) ((sees[x] == ENDED && linger[x] == 0) || (sees[x] == PRESENT && confirmed[x]))
#else
#define whole(x) (sees[x] == PRESENT || (sees[x] == ENDED && linger[x] == 0))
#endif

#define allowed(x) (whole(x) -> BEARS : part(x))

#ifndef NO_PULSE
#define awake(x) (!fenced[x] && !lapsed[x] && pausedFor[x] <= PULSE)
#else
#define awake(x) true
#endif

#define least(a, b) ((a) < (b) -> (a) : (b))

// The other host handles the question whether it gives the target up; of may be refused where it keeps the target by its own view.
inline ask(h, mayRefuse) {
	atomic {
		d_step {
			forClaim[h] = (hold[h] == CLAIM);
			ansHanded[h] = false;
			ansRefused[h] = false;
			// A call proves that the caller lives: the fencing time of its silence begins anew.
			if
			:: sees[peer] == SILENT -> sees[peer] = PRESENT; silent[peer] = 0; blind[peer] = 0
			:: else -> skip
			fi
		}
		if
		:: hold[peer] == HELD && awake(peer) && mayRefuse -> ansRefused[h] = true
		:: hold[peer] == CLAIM && awake(peer) && forClaim[h] && peer == 0 -> ansRefused[h] = true
		:: hold[peer] == HELD && awake(peer) -> hold[peer] = IDLE; answered[peer] = false; waited[peer] = 0; ansHanded[h] = true; succ[peer] = true
		:: hold[peer] == CLAIM && awake(peer) && forClaim[h] ->
			hold[peer] = IDLE; answered[peer] = false; waited[peer] = 0;
			if
			:: handed[peer] > 0 -> ansHanded[h] = true; succ[peer] = true
			:: else -> succ[peer] = false
			fi;
			handed[peer] = 0
		:: hold[peer] == CLAIM && !forClaim[h] -> skip
		:: hold[peer] == IDLE || !awake(peer) ->
			if
			:: hold[peer] == IDLE && awake(peer) && handed[peer] > 0 && forClaim[h] -> ansHanded[h] = true; succ[peer] = true
			:: forClaim[h] && succ[peer] -> ansHanded[h] = true
			:: else -> skip
			fi;
			hold[peer] = IDLE; answered[peer] = false; waited[peer] = 0;
			handed[peer] = 0
		fi;
		d_step {
			ans2[h] = run2[peer] + old2[peer];
			ans1[h] = run1[peer] + old1[peer];
			sent[h] = true
		}
	}
}

inline hear(h) {
	d_step {
		sent[h] = false;
		if
		:: forClaim[h] != (hold[h] == CLAIM) || sees[h] == ENDED -> skip
		:: else ->
#ifndef NO_COUNTS
			old2[h] = least(BEARS, old2[h] + ans2[h]);
			old1[h] = least(BEARS, old1[h] + ans1[h]);
#endif
			if
			:: ansRefused[h] && hold[h] == CLAIM -> hold[h] = IDLE; answered[h] = false; waited[h] = 0
			:: ansRefused[h] -> skip
			:: !ansRefused[h] && hold[h] == CLAIM ->
				answered[h] = true;
				if
				:: ansHanded[h] -> handed[h] = WAIT - 2
				:: else -> skip
				fi;
				confirmed[h] = (sees[h] == PRESENT)
			:: else -> confirmed[h] = (sees[h] == PRESENT)
			fi
		fi;
		ans2[h] = 0; ans1[h] = 0; ansHanded[h] = false; ansRefused[h] = false; forClaim[h] = false; late[h] = false
	}
}

inline lose(h) {
	d_step { sent[h] = false; ans2[h] = 0; ans1[h] = 0; ansHanded[h] = false; ansRefused[h] = false; forClaim[h] = false; late[h] = false }
}

#ifndef NO_ASK
#ifndef NO_FENCE
#define silentEnough(x) (sees[x] == SILENT && silent[x] >= WAIT)
#else
#define silentEnough(x) (sees[x] == SILENT)
#endif
#define given(x) (answered[x] || sees[x] == ENDED || silentEnough(x))
#else
#define given(x) true
#endif

#ifndef NO_FLIGHT
#define flown(x) (handed[x] > 0 || waited[x] >= FLIGHT)
#else
#define flown(x) true
#endif

proctype host(byte h) {
	do
	// A request counts from its admission, under the gate's lock.
	:: d_step { running(h) && hold[h] == HELD && awake(h) && busy(h) < allowed(h) -> run2[h]++; assert(atTarget <= BEARS) }
	:: d_step { running(h) && hold[h] == IDLE && awake(h) -> 
			hold[h] = CLAIM; answered[h] = false; waited[h] = 0;
			// Claims have numbers: what belongs to an earlier one counts no more.
			succ[peer] = false; sent[h] = false; ans2[h] = 0; ans1[h] = 0; ansHanded[h] = false; ansRefused[h] = false; forClaim[h] = false; late[h] = false
		}
	:: atomic { reaches(h, peer) && !sent[h] && awake(h) && hold[h] == CLAIM && sees[h] == PRESENT && !answered[h] -> ask(h, true) }
	:: atomic { reaches(h, peer) && !sent[h] && awake(h) && hold[h] == HELD && sees[h] == PRESENT && !confirmed[h] -> ask(h, true) }
	:: atomic { sent[h] && running(h) -> hear(h) }
	:: sent[h] -> lose(h)
	:: d_step { running(h) && hold[h] == CLAIM && awake(h) && given(h) && flown(h) -> hold[h] = HELD; handed[h] = 0; succ[h] = false; answered[h] = false; waited[h] = 0 }
	// What this host sees of the other.
	:: d_step { running(h) && sees[h] == PRESENT && (cut || (paused[peer] && pausedFor[peer] > PULSE) || crashed[peer]) ->
			sees[h] = SILENT; silent[h] = 0; confirmed[h] = false; blind[h] = 0;
			// What it said before its silence counts no more (peer.turns).
			answered[h] = false; sent[h] = false; ans2[h] = 0; ans1[h] = 0; ansHanded[h] = false; ansRefused[h] = false; forClaim[h] = false; late[h] = false
		}
	:: d_step { running(h) && sees[h] != ENDED && crashed[peer] && !cut ->
			if
			:: confirmed[h] -> skip
#ifndef NO_LINGER
			:: else -> linger[h] = FLIGHT
#else
			:: else -> skip
#endif
			fi;
			sees[h] = ENDED; silent[h] = 0; waited[h] = 0; blind[h] = 0 }
	:: d_step { running(h) && sees[h] == SILENT && reaches(h, peer) -> sees[h] = PRESENT; silent[h] = 0; blind[h] = 0 }
	// Faults: one pause a host, one crash, one cut that heals.
	:: d_step { running(h) && !hasPaused[h] && faults < FAULTS -> faults++; paused[h] = true; hasPaused[h] = true; pausedFor[h] = 0 }
	:: d_step { paused[h] ->
			paused[h] = false;
			if
			:: pausedFor[h] > PULSE -> fenced[h] = true; lapsed[h] = true
			:: else -> skip
			fi;
			pausedFor[h] = 0
		}
	:: d_step { running(h) && fenced[h] && reaches(h, peer) -> fenced[h] = false }
	// The first look after the return ends what was given before the pause.
	:: d_step { running(h) && lapsed[h] && !fenced[h] -> lapsed[h] = false;
#ifndef NO_PULSE
			hold[h] = IDLE; answered[h] = false; waited[h] = 0; handed[h] = 0; succ[h] = false
#endif
		}
	:: d_step { running(h) && !hasCrashed && faults < FAULTS -> faults++; crashed[h] = true; hasCrashed = true; hold[h] = IDLE; answered[h] = false; waited[h] = 0; handed[h] = 0; succ[h] = false; sees[h] = PRESENT; silent[h] = 0; linger[h] = 0; blind[h] = 0; confirmed[h] = false; old2[h] = 0; old1[h] = 0; fenced[h] = false; lapsed[h] = false; sent[h] = false; late[h] = false; ans2[h] = 0; ans1[h] = 0; ansHanded[h] = false; ansRefused[h] = false; forClaim[h] = false }
	:: d_step { h == 0 && !hasCut && faults < FAULTS -> faults++; cut = true; hasCut = true }
	:: d_step { h == 0 && cut -> cut = false }
	od
}

// A host that runs notices within DETECT that the other one is silent, and within the tick that it is back, as it calls a silent host each callRetryPeriod.
#define notices(x, y) (!running(x) || sees[x] == ENDED || (sees[x] == PRESENT && (reaches(x, y) || !cut || blind[x] < DETECT)) || (sees[x] == SILENT && !reaches(x, y)))

inline age(x, y) {
	run1[x] = run2[x]; run2[x] = 0;
	old1[x] = old2[x]; old2[x] = 0;
	if
	:: sees[x] == SILENT && silent[x] < WAIT && running(x) -> silent[x]++
	:: else -> skip
	fi;
	if
	:: hold[x] == CLAIM && waited[x] < FLIGHT && running(x) -> waited[x]++
	:: else -> skip
	fi;
	// An answer counts for a tick (callTimeout).
	if
	:: sent[x] && late[x] -> sent[x] = false; late[x] = false; ans2[x] = 0; ans1[x] = 0; ansHanded[x] = false; ansRefused[x] = false; forClaim[x] = false
	:: sent[x] && !late[x] -> late[x] = true
	:: else -> skip
	fi;
	if
	:: handed[x] > 0 -> handed[x]--
	:: else -> skip
	fi;
	if
	:: linger[x] > 0 -> linger[x]--
	:: else -> skip
	fi;
	if
	:: paused[x] && pausedFor[x] <= PULSE -> pausedFor[x]++
	:: else -> skip
	fi;
	if
	:: running(x) && sees[x] == PRESENT && cut && blind[x] < DETECT -> blind[x]++
	:: running(x) && !(sees[x] == PRESENT && cut) -> blind[x] = 0
	:: else -> skip
	fi
}

proctype clock() {
	do
	:: d_step { notices(0, 1) && notices(1, 0) -> age(0, 1); age(1, 0) }
	od
}

init {
	atomic {
		hold[0] = HELD;
		run clock();
		run host(0);
		run host(1)
	}
}
