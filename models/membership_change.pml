/* Membership change one voter at a time, and lost disks: consensus::Replica,
 * replica_membership.cc and replica_formation.cc.
 *
 * An election and an exchange of appends are one step each; disks are durable
 * at once (election_commit.pml covers crashes). An entry is its term and the
 * voters that it puts in force. The voters are a mask with two bits per host:
 * 0 is no voter, otherwise the incarnation of its folder plus 1.
 *
 * Without LOSS: four voters and a spare host; voters are added and removed, one
 * change per term. With THREE: three voters, and two changes per term.
 * With LOSS: three voters. A host may lose its folder, and the next one as soon
 * as the repair of the first is committed.
 *
 * Planted mistakes:
 *   SKIP_OWN_TERM   a change does not wait for an entry of the leader's term
 *   OVERLAP         a change does not wait for the one before it (with THREE)
 *   EMPTY_VOTES     a host that lost its folder acts as before (with LOSS)
 */
#ifdef LOSS
#define N 3
#define ALL 21 /* 01 01 01 */
#define LOSSES 2
#define MAXTERM 2
#define MAXLOG 6
#elif defined(THREE)
#define N 3
#define ALL 21
#define LOSSES 0
#define MAXTERM 2
#define MAXLOG 4
#else
#define N 5
#define ALL 85 /* 01 01 01 01: hosts 0 to 3 */
#define LOSSES 0
#define MAXTERM 3
#define MAXLOG 3
#endif

#define ENTRY(t, voters) (((t) << 10) | (voters))
#define VOTERS(entry) ((entry) & 1023)
#define TERM(entry) ((entry) >> 10)
#define LIFE(voters, j) (((voters) >> (2 * (j))) & 3)

typedef Host {
  byte term;
  bool leader;
  byte last;          /* number of entries; the first one is the formation's */
  short log[MAXLOG];
  byte life;          /* incarnation of the folder plus 1 */
  byte commit;
};

Host h[N];
short committed[MAXLOG];
byte ncommitted = 1;
byte losses;

#define LATEST(i) VOTERS(h[i].log[h[i].last - 1])
#define IS_VOTER(i, j) (LIFE(LATEST(i), j) != 0 && LIFE(LATEST(i), j) == h[j].life)

inline CountVoters(voters, result) {
  result = 0;
  k = 0;
  do
  :: k < N ->
     if
     :: LIFE(voters, k) != 0 -> result++
     :: else -> skip
     fi;
     k++
  :: else -> break
  od;
  k = 0
}

/* Whether j's log is the same as i's up to `upto`. */
inline SameLog(i, j, upto, result) {
  result = (h[j].last >= upto);
  k = 0;
  do
  :: k < upto && result ->
     result = (h[i].log[k] == h[j].log[k]);
     k++
  :: else -> break
  od;
  k = 0
}

#ifdef SKIP_OWN_TERM
#define OWN_TERM_COMMITTED(i) true
#else
#define OWN_TERM_COMMITTED(i) (TERM(h[i].log[h[i].commit - 1]) == h[i].term)
#endif
/* The last entry that changed the voters is committed. */
#ifdef OVERLAP
#define NO_CHANGE_OPEN(i) true
#else
#define NO_CHANGE_OPEN(i) (VOTERS(h[i].log[h[i].commit - 1]) == LATEST(i))
#endif
#define MAY_CHANGE(i) (h[i].leader && h[i].last < MAXLOG && OWN_TERM_COMMITTED(i) && NO_CHANGE_OPEN(i))

inline Append(i, voters) {
  h[i].log[h[i].last] = ENTRY(h[i].term, voters);
  h[i].last++
}

proctype Group() {
  byte i, j, k, count, total;
  bool same;
  do
  /* An election: any part of the voters may answer. */
  :: atomic {
       select(i : 0 .. (N - 1));
       if
       :: h[i].last > 0 && !h[i].leader && h[i].term < MAXTERM &&
          IS_VOTER(i, i) ->
          h[i].term++;
          count = 1;
          j = 0;
          do
          :: j < N ->
             if
             :: j != i && IS_VOTER(i, j) && h[j].last > 0 &&
                h[j].term < h[i].term &&
                (TERM(h[i].log[h[i].last - 1]) > TERM(h[j].log[h[j].last - 1]) ||
                 (TERM(h[i].log[h[i].last - 1]) == TERM(h[j].log[h[j].last - 1]) &&
                  h[i].last >= h[j].last)) ->
                h[j].term = h[i].term;
                h[j].leader = false;
                count++
             :: true
             fi;
             j++
          :: else -> break
          od;
          CountVoters(LATEST(i), total);
          if
          :: 2 * count > total -> h[i].leader = true
          :: else -> skip
          fi
       :: else -> skip
       fi;
       i = 0; j = 0; count = 0; total = 0
     }
  /* BecomeLeader's first entry. */
  :: atomic {
       select(i : 0 .. (N - 1));
       if
       :: h[i].leader && h[i].last < MAXLOG &&
          TERM(h[i].log[h[i].last - 1]) < h[i].term ->
          Append(i, LATEST(i))
       :: else -> skip
       fi;
       i = 0
     }
  /* AppendRequest and AppendReply; a learner receives the log too. */
  :: atomic {
       select(i : 0 .. (N - 1));
       select(j : 0 .. (N - 1));
       if
       :: i != j && h[i].leader && h[j].term <= h[i].term ->
          h[j].term = h[i].term;
          h[j].leader = false;
          k = 0;
          do
          :: k < MAXLOG ->
             if
             :: k < h[i].last -> h[j].log[k] = h[i].log[k]
             :: else -> h[j].log[k] = 0
             fi;
             k++
          :: else -> break
          od;
          h[j].last = h[i].last
       :: else -> skip
       fi;
       i = 0; j = 0; k = 0
     }
  /* AdvanceCommit. */
  :: atomic {
       select(i : 0 .. (N - 1));
       if
       :: h[i].leader && h[i].commit < h[i].last &&
          TERM(h[i].log[h[i].last - 1]) == h[i].term ->
          count = 0;
          j = 0;
          do
          :: j < N ->
             if
             :: IS_VOTER(i, j) && h[j].term == h[i].term ->
                SameLog(i, j, h[i].last, same);
                count = count + same
             :: else -> skip
             fi;
             j++
          :: else -> break
          od;
          CountVoters(LATEST(i), total);
          if
          :: 2 * count > total ->
             k = 0;
             do
             :: k < h[i].last ->
                assert(k >= ncommitted || committed[k] == h[i].log[k]);
                committed[k] = h[i].log[k];
                k++
             :: else -> break
             od;
             if
             :: h[i].last > ncommitted -> ncommitted = h[i].last
             :: else -> skip
             fi;
             h[i].commit = h[i].last
          :: else -> skip
          fi
       :: else -> skip
       fi;
       i = 0; j = 0; k = 0; count = 0; total = 0; same = false
     }
#ifdef LOSS
  /* The folder is lost. What a host knew before counts for nothing after. */
  :: atomic {
       losses < LOSSES ->
       select(j : 0 .. (N - 1));
       count = 0;
       i = 0;
       do
       :: i < N ->
          count = count +
              (LIFE(VOTERS(committed[ncommitted - 1]), i) == h[i].life);
          i++
       :: else -> break
       od;
       if
       :: count == N ->
          losses++;
          h[j].term = 0;
          h[j].leader = false;
          h[j].commit = 1;
          k = 0;
          do
          :: k < MAXLOG -> h[j].log[k] = 0; k++
          :: else -> break
          od;
#ifdef EMPTY_VOTES
          h[j].last = 1;
          h[j].log[0] = ENTRY(0, ALL)
#else
          h[j].last = 0;
          h[j].life++
#endif
       :: else -> skip
       fi;
       i = 0; j = 0; k = 0; count = 0
     }
  /* RejoinRequest: the leader takes the vote of the former life away. */
  :: atomic {
       select(i : 0 .. (N - 1));
       select(j : 0 .. (N - 1));
       if
       :: MAY_CHANGE(i) && i != j && LIFE(LATEST(i), j) != 0 &&
          LIFE(LATEST(i), j) != h[j].life ->
          Append(i, LATEST(i) & (1023 - (3 << (2 * j))))
       :: else -> skip
       fi;
       i = 0; j = 0
     }
  /* PromoteCaughtUp. */
  :: atomic {
       select(i : 0 .. (N - 1));
       select(j : 0 .. (N - 1));
       if
       :: MAY_CHANGE(i) && i != j && LIFE(LATEST(i), j) == 0 ->
          SameLog(i, j, h[i].last, same);
          if
          :: same -> Append(i, LATEST(i) | (h[j].life << (2 * j)))
          :: else -> skip
          fi
       :: else -> skip
       fi;
       i = 0; j = 0; same = false
     }
#else
  /* ChangeMembers: removes or adds one voter. */
  :: atomic {
       select(i : 0 .. (N - 1));
       select(j : 0 .. (N - 1));
       if
       :: MAY_CHANGE(i) && i != j && LIFE(LATEST(i), j) != 0 ->
          Append(i, LATEST(i) & (1023 - (3 << (2 * j))))
       :: MAY_CHANGE(i) && i != j && LIFE(LATEST(i), j) == 0 ->
          Append(i, LATEST(i) | (1 << (2 * j)))
       :: else -> skip
       fi;
       i = 0; j = 0
     }
#endif
  od
}

init {
  byte i;
  atomic {
    committed[0] = ENTRY(0, ALL);
    for (i : 0 .. (N - 1)) {
      h[i].life = 1;
      h[i].last = 1;
      h[i].commit = 1;
      h[i].log[0] = ENTRY(0, ALL)
    }
    i = 0;
    run Group()
  }
}
