/* Orders with tickets: one ticket, the host that issued it, another host, a successor and two replicas of the shard.
 *
 * Code: atMinter is Book.openOrJoin, joinRecord and openRecord (order/own.go); perform is Book.execute with keeper.Send and
 * target.Client.Order; elsewhere is Book.Run, forward, askSuccessors and Refuse (order/book.go, order/forward.go);
 * tell is adoptedLedger.outcome (order/adopt.go); Minter is a crash, the ledger's floor (order/ledger.go) or the graceful
 * stop (host/leave.go, Book.Close and HandOver). Two copies of the first attempt stand for a repeat and for a copy
 * delayed in the network; the caller answers "not run" with either a new ticket or a second attempt, never with both.
 *
 * Holds: the order runs at most once over both tickets, and nothing of the ticket has run when "not run" is said.
 */
// guard: REMEMBER
// guard: MINTER
// guard: SEAL
// guard: CERTAIN
// guard: FLOOR
// guard: UNSURE
// guard: CLOSE
// guard: COMPLETE

mtype = { none, underway, ran, unknown, refused };
mtype = { up, closing, gone };
mtype = { no_answer, not_run, outcome, maybe };

mtype host = up;		/* the minting host */
mtype rec = none;		/* its record of the ticket */
byte recAttempt = 0;
bool floor = false;		/* the ticket is at or below the floor */
byte open = 0;			/* orders under way at the minting host */
byte pages = 0;			/* pages of the record at the successor: 2 is complete */
mtype nextRec = none;
bool nextFloor = false;
byte runs = 0;			/* runs with the ticket */
byte total = 0;			/* runs with the ticket or with a new one */
bool told = false;		/* the caller got "not run" */

inline execute() {
	atomic { runs++; total++; assert(total <= 1) }
}

inline sayNotRun(result) {
	assert(runs == 0);
	result = not_run
}

/* One replica after another, for as long as it is certain that nothing ran. */
inline perform(result) {
	tries = 0;
	reply = refused;
	do
	:: tries == 2 || host == gone -> break
	:: tries < 2 && host != gone ->
		tries++;
		if
		:: reply = refused			/* refused by the target, or never sent */
		:: execute(); reply = ran
		:: execute(); reply = unknown	/* the reply was lost */
		fi;
		if
		:: reply == refused -> skip
		:: reply == ran -> break
		:: reply == unknown ->
#ifndef NO_CERTAIN
			break
#else
			skip
#endif
		fi
	od;
	atomic {
		if
		:: host == gone -> result = no_answer
		:: else ->
			rec = reply;
			open--;
			if
			:: reply == refused -> sayNotRun(result)
			:: reply == ran -> result = outcome
			:: else -> result = maybe
			fi
		fi
	}
}

inline openRecord(attempt, fresh, result) {
	if
#ifndef NO_FLOOR
	:: floor -> result = maybe
#endif
	:: (
#ifndef NO_FLOOR
		!floor &&
#endif
		host == closing) -> sayNotRun(result)
	:: (
#ifndef NO_FLOOR
		!floor &&
#endif
		host == up) ->
		rec = underway;
		recAttempt = attempt;
		open++;
		fresh = true
	fi
}

inline atMinter(attempt, fresh, result) {
	fresh = false;
	result = no_answer;
	atomic {
		if
		:: host == gone -> skip
#ifndef NO_REMEMBER
		:: host != gone && rec == refused && (
#ifndef NO_SEAL
			attempt > recAttempt
#else
			true
#endif
			) -> openRecord(attempt, fresh, result)
		:: host != gone && rec == refused && !(
#ifndef NO_SEAL
			attempt > recAttempt
#else
			true
#endif
			) -> sayNotRun(result)
		:: host != gone && rec == ran -> result = outcome
		:: host != gone && (rec == unknown || rec == underway) -> result = maybe
		:: host != gone && rec == none -> openRecord(attempt, fresh, result)
#else
		:: host != gone -> openRecord(attempt, fresh, result)
#endif
		fi
	}
	if
	:: fresh -> perform(result)
	:: else -> skip
	fi
}

inline tell(result) {
	atomic {
		if
		:: pages == 0 -> result = no_answer
		:: pages > 0 && nextRec == ran -> result = outcome
		:: pages > 0 && nextRec == refused -> sayNotRun(result)
		:: pages > 0 && (nextRec == unknown || nextRec == underway) -> result = maybe
		:: pages > 0 && nextRec == none ->
			if
			:: nextFloor -> result = maybe
#ifndef NO_COMPLETE
			:: !nextFloor && pages < 2 -> result = maybe
			:: !nextFloor && pages == 2 -> sayNotRun(result)
#else
			:: !nextFloor -> sayNotRun(result)
#endif
			fi
		fi
	}
}

/* Another host forwards, refuses by itself, or finds no one who knows. */
inline elsewhere(attempt, fresh, result) {
	if
	:: atMinter(attempt, fresh, result);
		if
		:: result = no_answer	/* the answer was lost on its way */
		:: skip
		fi
	:: result = no_answer		/* the call was lost on its way */
	:: atomic {			/* out of service, leaving, too large */
#ifndef NO_UNSURE
		result = maybe
#else
		sayNotRun(result)
#endif
		}
	fi;
	if
	:: result == no_answer -> tell(result)
	:: else -> skip
	fi;
	if
	:: result == no_answer ->
#ifndef NO_MINTER
		result = maybe
#else
		execute();
		result = outcome
#endif
	:: else -> skip
	fi
}

proctype Request(byte attempt) {
	bool fresh;
	byte tries;
	mtype reply, result;
	if
	:: atMinter(attempt, fresh, result)
	:: elsewhere(attempt, fresh, result)
	fi;
	if
	:: result == not_run -> told = true
	:: else -> skip
	fi
}

proctype Caller() {
end:	told;
	if
	:: atomic { total++; assert(total <= 1) }	/* a new ticket, whose order runs */
	:: run Request(2)
	fi
}

proctype Minter() {
	if
	:: atomic { rec != none && rec != underway -> rec = none; floor = true }
	:: skip
	fi;
	if
	:: skip				/* it stays */
	:: host = gone			/* it crashes with its record */
	:: atomic {
#ifndef NO_CLOSE
		host = closing
#else
		skip
#endif
		};
		open == 0;
		pages = 1;		/* a first page, without this ticket's record */
		atomic { pages = 2; nextRec = rec; nextFloor = floor };
		host = gone
	fi
}

init {
	atomic {
		run Request(1);
		run Request(1);
		run Minter();
		run Caller()
	}
}
