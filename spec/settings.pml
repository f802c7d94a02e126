// guard: CREATE
// guard: SETTLE
// guard: FORWARD
// guard: ORDER

/* The settings log: two operators race, replies are lost, replicas lag, hosts apply from the store, from each other and from a late snapshot.

   Mapping to the code:
     log, head            the keys settings/log/N of the platform's store
     Operator             spread.Writer: Append, putUntilKnown, readBack
     Host                 spread.Distributor: readNewChanges (store), fetch and applyFetched (peer), readSnapshot and installTree (snapshot)
     CREATE               store.Write with Expect zero: a number is given once
     SETTLE               putUntilKnown repeats the write where a read-back shows nothing, and says unknown in the end
     FORWARD              shouldInstall: a whole tree is put in force at a host that has none only
     ORDER                applyChange: only the change after the last one, errMissingChange otherwise
   Invariants:
     one winner for each number, seen alike by all hosts; no host goes back or leaves a change out; an operator's verdict is true. */

#define CHANGES 2
#define TRIES 3

mtype = { OK, TAKEN, LOST }

byte log[CHANGES + 1];
byte head;

typedef Row {
  byte id[CHANGES + 1];
  byte have;
}
Row row[2];

/* same holds what must be true of a host's row after each step: complete, and like the other host's. */
inline same(h) {
  for (k : 1 .. CHANGES) {
    assert(k > row[h].have || row[h].id[k] != 0);
    assert(k > row[h].have || k > row[1 - h].have || row[h].id[k] == row[1 - h].id[k])
  }
}

proctype Operator(byte me) {
  byte n, seen, tries;
  mtype answer;

  /* The tree that the operator saw may come from a replica that lags. */
  atomic {
    n = head + 1;
    if
    :: n > 1 -> n--
    :: skip
    fi;
    if
    :: n > CHANGES -> goto done
    :: else
    fi
  }
  do
  :: tries < TRIES ->
    tries++;
    atomic {
#ifndef NO_CREATE
      if
      :: log[n] == 0 -> log[n] = me; answer = OK
      :: else -> answer = TAKEN
      fi;
#else
      log[n] = me; answer = OK;
#endif
      if
      :: n > head -> head = n
      :: else
      fi;
      if
      :: answer = LOST
      :: skip
      fi
    }
    if
    :: answer == OK -> assert(log[n] == me); break
    :: else
    fi;
    atomic {
      if
      :: seen = log[n]
      :: seen = 0
      fi
    }
    if
    :: seen == me -> assert(log[n] == me); break
    :: seen != me && seen != 0 -> assert(log[n] != me); break
    :: seen == 0 ->
#ifdef NO_SETTLE
      /* The verdict that the change took no effect. */
      assert(log[n] != me); break
#else
      skip
#endif
    fi
  :: tries == TRIES -> break
  od;
done:
  skip
}

proctype Host(byte h) {
  byte n, k, snap;

end:
  do
  :: atomic {
      row[h].have < head ->
      n = row[h].have + 1;
#ifdef NO_ORDER
      if
      :: n < head -> n = head
      :: skip
      fi;
#endif
      row[h].id[n] = log[n];
      row[h].have = n;
      same(h)
    }
  :: atomic {
      row[h].have < row[1 - h].have ->
      n = row[h].have + 1;
      row[h].id[n] = row[1 - h].id[n];
      row[h].have = n;
      same(h)
    }
  :: atomic {
      /* A snapshot is asked for and answered later. */
      snap == 0 && head > 0 -> snap = head
    }
  :: atomic {
      snap > 0 ->
#ifndef NO_FORWARD
      if
      :: row[h].have == 0 ->
#else
      if
      :: true ->
#endif
        assert(snap >= row[h].have);
        for (k : 1 .. snap) {
          row[h].id[k] = log[k]
        }
        row[h].have = snap;
        same(h)
      :: else
      fi;
      snap = 0
    }
  od
}

init {
  atomic {
    run Operator(1);
    run Operator(2);
    run Host(0);
    run Host(1)
  }
}
