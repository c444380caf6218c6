/* The lease of a domain's placement authority: docs/design.md section 3.6,
 * libraries/authority.
 *
 * Three hosts without disks on one clock; hosts 0 and 1 are candidates and all
 * three vote. Requests and grants are messages that
 * may be lost; a cut is a step that is not taken. A grant is given at one time
 * and may arrive later. A frozen host takes no step while the clock moves on. A
 * directive to the worker may arrive at any time after it was sent.
 *
 * A host that restarts has forgotten its grants and the epochs it has seen. A
 * counter alone would then give an epoch twice, or a lower one to a later
 * holder, so an epoch is the time of the attempt, made unique by the host.
 *
 * Planted mistakes:
 *   NO_RESTART_WAIT    a restarted host votes at once
 *   NO_CHECK           the holder acts without a look at its lease
 *   FROM_ARRIVAL       the lease counts from the arrival of the grant
 *   NO_FENCE           the worker takes a lower epoch
 *   EPOCH_COUNTS_ONLY  the epoch is the highest one seen plus 1
 */
#define N 3
#define LEASE 2
#define END 5
#define NOBODY 7
/* Bounds the number of attempts; each one takes a higher epoch. */
#ifdef EPOCH_COUNTS_ONLY
#define MAXEPOCH 6
#else
#define MAXEPOCH 20
#endif

typedef Host {
  /* As voter. */
  byte granted_to;
  byte granted_until;
  byte wait_until;
  byte seen;
  /* As candidate and holder. */
  bool asking;
  byte asked_at;
  byte epoch;
  byte grants;       /* mask */
  byte lease_until;  /* 0 without a lease */
};

Host h[N];
byte now = 1;
byte restarts;
byte worker_epoch;
byte worker_owner = NOBODY;
byte on_the_way[2];     /* epoch of each candidate's directive in transit; 0 is
                           none */
byte acted_owner = NOBODY;  /* the holder that acted last, and until when */
byte acted_until;

#define MAJORITY(mask) ((mask) == 3 || (mask) == 5 || (mask) == 6 || (mask) == 7)

#ifdef EPOCH_COUNTS_ONLY
#define NEXT_EPOCH(i) (h[i].seen + 1)
#else
#define NEXT_EPOCH(i) (now * 2 + i)
#endif

inline Reset(i) {
  h[i].granted_to = NOBODY;
  h[i].granted_until = 0;
  h[i].seen = 0;
  h[i].asking = false;
  h[i].asked_at = 0;
  h[i].epoch = 0;
  h[i].grants = 0;
  h[i].lease_until = 0
}

#ifdef NO_FENCE
#define FENCED(i) true
#else
#define FENCED(i) (on_the_way[i] >= worker_epoch)
#endif

#ifdef NO_CHECK
#define LEASE_IS_CHECKED false
#else
#define LEASE_IS_CHECKED true
#endif

/* Without a lease and a question the candidate's values mean nothing. */
inline Forget(i) {
  if
  :: !h[i].asking ->
     h[i].asked_at = 0;
     h[i].grants = 0;
     if
     :: h[i].lease_until == 0 -> h[i].epoch = 0
     :: else -> skip
     fi
  :: else -> skip
  fi
}

proctype Domain() {
  byte i, j;
  do
  /* Time passes; a host that takes no step meanwhile is frozen or cut off. */
  :: atomic {
       now < END ->
       now++;
       /* Values that have lost their meaning are set to one value, so that
        * equal situations are one state. */
       for (i : 0 .. 2) {
         if
         :: h[i].granted_until <= now ->
            h[i].granted_to = NOBODY;
            h[i].granted_until = 0
         :: else -> skip
         fi;
         if
         :: h[i].wait_until <= now -> h[i].wait_until = 0
         :: else -> skip
         fi;
         if
         :: h[i].lease_until <= now && LEASE_IS_CHECKED ->
            h[i].lease_until = 0
         :: else -> skip
         fi;
         Forget(i)
       }
       if
       :: acted_until <= now -> acted_owner = NOBODY; acted_until = 0
       :: else -> skip
       fi;
       i = 0
     }
  /* A candidate, or the holder that renews, asks for the lease. */
  :: atomic {
       select(i : 0 .. 1);
       if
       :: !h[i].asking && h[i].wait_until <= now && h[i].seen < MAXEPOCH &&
          (h[i].lease_until > now || NEXT_EPOCH(i) > h[i].seen) &&
          (h[i].granted_to == NOBODY || h[i].granted_to == i ||
           h[i].granted_until <= now) ->
          h[i].asking = true;
          h[i].asked_at = now;
          h[i].grants = 1 << i;
          if
          :: h[i].lease_until > now -> skip  /* renews under its epoch */
          :: else -> h[i].lease_until = 0; h[i].epoch = NEXT_EPOCH(i)
          fi;
          h[i].seen = h[i].epoch;
          h[i].granted_to = i;
          h[i].granted_until = now + LEASE
       :: else -> skip
       fi;
       i = 0
     }
  /* A voter grants. The time of the grant is not after that of the arrival, so
   * the grant and its arrival are one step at the later time; the lease counts
   * from asked_at, which lies before both. */
  :: atomic {
       select(i : 0 .. 1);
       select(j : 0 .. 2);
       if
       :: i != j && h[i].asking && h[j].wait_until <= now &&
          (h[j].granted_to == NOBODY || h[j].granted_to == i ||
           h[j].granted_until <= now) &&
          (h[i].epoch > h[j].seen ||
           (h[i].epoch == h[j].seen && h[j].granted_to == i)) ->
          h[j].granted_to = i;
          h[j].granted_until = now + LEASE;
          h[j].seen = h[i].epoch;
          h[j].asking = false;
          h[i].grants = h[i].grants | (1 << j)
       :: i != j && h[i].asking && h[j].seen > h[i].seen ->
          /* A refusal tells the epoch that the voter has seen. */
          h[i].seen = h[j].seen;
          h[i].asking = false
       :: else -> skip
       fi;
       Forget(i);
       Forget(j);
       i = 0; j = 0
     }
  /* The candidate counts its grants, possibly long after they were sent. */
  :: atomic {
       select(i : 0 .. 1);
       if
       :: h[i].asking && MAJORITY(h[i].grants) ->
          h[i].asking = false;
#ifdef FROM_ARRIVAL
          h[i].lease_until = now + LEASE
#else
          h[i].lease_until = h[i].asked_at + LEASE
#endif
       :: h[i].asking ->
          h[i].asking = false  /* gives up and asks again */
       :: else -> skip
       fi;
       Forget(i);
       i = 0
     }
  /* The holder sends a directive, after the workers' reports told it the
   * highest epoch that they have seen. */
  :: atomic {
       select(i : 0 .. 1);
       if
#ifdef NO_CHECK
       :: h[i].lease_until > 0 && on_the_way[i] == 0 ->
#else
       :: h[i].lease_until > now && on_the_way[i] == 0 ->
#endif
          if
          :: worker_epoch > h[i].epoch ->
             h[i].seen = worker_epoch;
             h[i].lease_until = 0;
             Forget(i)
          :: else ->
             assert(acted_owner == NOBODY || acted_owner == i ||
                    acted_until <= now);
             acted_owner = i;
             acted_until = h[i].lease_until;
             on_the_way[i] = h[i].epoch
          fi
       :: else -> skip
       fi;
       i = 0
     }
  /* A directive arrives, or is lost or refused. */
  :: atomic {
       select(i : 0 .. 1);
       if
       :: on_the_way[i] != 0 && FENCED(i) ->
          /* No directive of an earlier holder after one of a later holder, and
           * no epoch of two holders. */
          assert(on_the_way[i] > worker_epoch ||
                 (on_the_way[i] == worker_epoch && i == worker_owner));
          worker_epoch = on_the_way[i];
          worker_owner = i
       :: true -> skip
       fi;
       on_the_way[i] = 0;
       i = 0
     }
  /* A host restarts. Without a disk it waits out the longest lease that it may
   * have granted. */
  :: atomic {
       restarts < 1 ->
       restarts++;
       select(i : 0 .. 2);
       Reset(i);
#ifndef NO_RESTART_WAIT
       h[i].wait_until = now + LEASE;
#endif
       i = 0
     }
  od
}

init {
  byte i;
  atomic {
    for (i : 0 .. 2) { h[i].granted_to = NOBODY }
    i = 0;
    run Domain()
  }
}
