/* Callers' own keys: a caller sends its key to one host, gives up waiting and repeats it at another; the store's
 * condition decides whose ticket the key stands for.
 *
 * Code: Host is Book.RunKeyed with claimTicket (order/book.go); claim is claimWriter.mergeBatch, readDocument and claimDocument.addMissing (order/claims.go);
 * the repeat's refusal is Book.RefuseKeyed. The store loses replies after the write took effect, answers reads with
 * old data, and is down at times. A run with a ticket is taken as at most once, which orders.pml checks.
 *
 * Holds: the order runs at most once over the key and the new one that the caller takes when it is told "not run".
 */
// guard: CLAIM
// guard: CONDITION
// guard: UNSURE

#define NOBODY 2
#define TRIES 3

byte held = NOBODY;		/* the ticket under the key in the store, by its host */
byte revision = 0;
byte runs = 0;
bool ran[2];			/* each ticket runs at most once */
mtype = { waiting, gaveUp, answered };
mtype caller = waiting;		/* what the caller does about its first request */

inline runTicket(t) {
	atomic {
		if
		:: ran[t] -> skip
		:: else -> ran[t] = true; runs++; assert(runs <= 1)
		fi
	}
}

/* "not run" was said in time: the caller sends the order under a new key and not the old one again. */
inline newKey() {
	atomic { caller = answered; runs++; assert(runs <= 1) }
}

/* holder becomes the ticket that the key stands for, or NOBODY where the store gave no sure answer. */
inline claim(self, holder) {
	holder = NOBODY;
	tries = 0;
	do
	:: tries == TRIES -> break
	:: tries < TRIES ->
		tries++;
		if
		:: atomic { seen = held; at = revision }
		:: seen = NOBODY; at = 0			/* an old replica */
		:: break					/* the store is down */
		fi;
		if
		:: seen != NOBODY -> holder = seen; break
		:: else -> skip
		fi;
		if
#ifndef NO_CONDITION
		:: atomic { at == revision -> held = self; revision++ };
#else
		:: atomic { held = self; revision++ };
#endif
			if
			:: holder = self; break
			:: skip					/* the reply was lost: read it again */
			fi
		:: skip						/* refused, or lost on its way */
		fi
	od
}

proctype Host(byte self) {
	byte holder, seen, at, tries;
end:
	self == 0 || caller == gaveUp;
#ifndef NO_CLAIM
	claim(self, holder);
#else
	holder = self;
#endif
	if
	:: holder != NOBODY -> runTicket(holder)
	:: else ->
		if
		:: atomic { self == 0 && caller == waiting -> caller = answered }; newKey()
#ifdef NO_UNSURE
		:: self == 1 -> newKey()
#endif
		:: else -> skip
		fi
	fi
}

proctype Caller() {
	if
	:: atomic { caller == waiting -> caller = gaveUp }
	:: skip		/* it waits for the answer */
	fi
}

init {
	atomic {
		run Host(0);
		run Host(1);
		run Caller()
	}
}
