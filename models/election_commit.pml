/* Election and commit with crash and restart: consensus::Replica.
 *
 * Three voters. A message exchange is one atomic step between two hosts, which
 * may happen at any time or never; a lost message is a step that is not taken.
 * A host has a volatile log (what it received) and a durable log (what its disk
 * holds); a crash at any moment falls back to the durable one. Entries are
 * their terms.
 *
 * Planted mistakes:
 *   VOTE_TWICE        a vote is not remembered over a crash
 *   ACK_BEFORE_SYNC   an acknowledgement does not wait for the disk
 *   COMMIT_OLD_TERM   a leader counts copies of an earlier term's entry
 */
#define N 3
#define MAJORITY 2
#define MAXLOG 2
#ifdef DIVERGED
/* Two leaders of the past left one entry each: the state in which counting
 * copies of an earlier term's entry goes wrong. */
#define MAXTERM 4
#define CRASHES 0
#else
#define MAXTERM 2
#define CRASHES 1
#endif
#define NOBODY 7

#ifdef COMMIT_OLD_TERM
#define COUNTS(i, upto) true
#else
#define COUNTS(i, upto) (h[i].log[upto - 1] == h[i].term)
#endif

typedef Host {
  byte term;            /* durable */
  byte vote;            /* durable; NOBODY when none */
  bool leader;
  byte votes;           /* bit mask of granted votes */
  byte log[MAXLOG];     /* terms of the entries; 0 is empty */
  byte last;
  byte durable[MAXLOG];
  byte durable_last;
  byte match[N];        /* as leader */
  byte commit;
};

Host h[N];
byte committed[MAXLOG]; /* what any host ever committed; 0 is nothing */
byte leader_of[MAXTERM + 1];
byte crashes;

inline LastTerm(i, result) {
  if
  :: h[i].last == 0 -> result = 0
  :: else -> result = h[i].log[h[i].last - 1]
  fi
}

/* Records a commit and checks it against everything committed before. */
inline Commit(i, upto) {
  k = 0;
  do
  :: k < upto ->
     assert(committed[k] == 0 || committed[k] == h[i].log[k]);
     committed[k] = h[i].log[k];
     k++
  :: else -> break
  od;
  h[i].commit = upto;
  k = 0
}

inline StepDown(i, newterm) {
  h[i].term = newterm;
  h[i].vote = NOBODY;
  h[i].leader = false;
  h[i].votes = 0;
  k = 0;
  do
  :: k < N -> h[i].match[k] = 0; k++
  :: else -> break
  od;
  k = 0
}

proctype Voter(byte i) {
  byte j, k, mine, theirs, count;
  do
  /* StartElection: the term and the own vote are durable before anybody is
   * asked, so both change in one step. */
  :: atomic {
       !h[i].leader && h[i].term < MAXTERM ->
       StepDown(i, h[i].term + 1);
       h[i].vote = i;
       h[i].votes = 1 << i
     }
  /* HandlePayload(VoteRequest) at j and VoteReply at i. */
  :: atomic {
       h[i].vote == i && !h[i].leader && h[i].votes != 0 ->
       select(j : 0 .. 2);
       if
       :: j != i && h[j].term <= h[i].term ->
          if
          :: h[j].term < h[i].term -> StepDown(j, h[i].term)
          :: else -> skip
          fi;
          LastTerm(i, mine);
          LastTerm(j, theirs);
          if
          :: (h[j].vote == NOBODY || h[j].vote == i) &&
             (mine > theirs || (mine == theirs && h[i].last >= h[j].last)) ->
             h[j].vote = i;
             h[i].votes = h[i].votes | (1 << j)
          :: else -> skip
          fi
       :: else -> skip
       fi;
       j = 0; mine = 0; theirs = 0
     }
  /* BecomeLeader. */
  :: atomic {
       !h[i].leader && h[i].vote == i &&
       (h[i].votes == 3 || h[i].votes == 5 || h[i].votes == 6 ||
        h[i].votes == 7) ->
       assert(leader_of[h[i].term] == NOBODY || leader_of[h[i].term] == i);
       leader_of[h[i].term] = i;
       h[i].leader = true;
       h[i].votes = 0
     }
  /* AppendToLog as leader. */
  :: atomic {
       h[i].leader && h[i].last < MAXLOG ->
       h[i].log[h[i].last] = h[i].term;
       h[i].last++
     }
  /* PersistedInput: the disk has what was handed to it. */
  :: atomic {
       h[i].durable_last != h[i].last ||
       (h[i].last > 0 && h[i].durable[0] != h[i].log[0]) ||
       (h[i].last > 1 && h[i].durable[1] != h[i].log[1]) ->
       h[i].durable_last = h[i].last;
       h[i].durable[0] = h[i].log[0];
       h[i].durable[1] = h[i].log[1]
     }
  /* AppendRequest from i, stored by j. The whole log is sent; the replica's
   * backtracking finds the same common part. */
  :: atomic {
       h[i].leader ->
       select(j : 0 .. 2);
       if
       :: j != i && h[j].term <= h[i].term ->
          if
          :: h[j].term < h[i].term -> StepDown(j, h[i].term)
          :: else -> skip
          fi;
          h[j].votes = 0;
          k = 0;
          do
          :: k < h[i].last ->
             h[j].log[k] = h[i].log[k];
             k++
          :: else -> break
          od;
          if
          :: h[j].last < h[i].last -> h[j].last = h[i].last
          :: h[j].last > h[i].last &&
             h[j].log[h[j].last - 1] < h[i].term ->
             /* A surplus of an earlier term conflicts or is kept until an
              * entry takes its place; cutting it is the harder case. */
             do
             :: h[j].last > h[i].last ->
                h[j].last--;
                h[j].log[h[j].last] = 0
             :: else -> break
             od
          :: else -> skip
          fi
       :: else -> skip
       fi;
       j = 0; k = 0
     }
  /* AppendReply: j acknowledges what its disk holds of i's log. */
  :: atomic {
       h[i].leader ->
       select(j : 0 .. 2);
       if
       :: h[j].term == h[i].term ->
          k = 0;
          do
          :: k < h[i].last &&
#ifdef ACK_BEFORE_SYNC
             k < h[j].last && h[j].log[k] == h[i].log[k] -> k++
#else
             k < h[j].durable_last && h[j].durable[k] == h[i].log[k] -> k++
#endif
          :: else -> break
          od;
          if
          :: k > h[i].match[j] -> h[i].match[j] = k
          :: else -> skip
          fi
       :: else -> skip
       fi;
       j = 0; k = 0
     }
  /* AdvanceCommit. */
  :: atomic {
       h[i].leader && h[i].commit < h[i].last ->
       mine = h[i].commit + 1;
       if
       :: mine < h[i].last -> mine++
       :: true
       fi;
       count = (h[i].match[0] >= mine) + (h[i].match[1] >= mine) +
               (h[i].match[2] >= mine);
       if
       :: count >= MAJORITY && COUNTS(i, mine) -> Commit(i, mine)
       :: else -> skip
       fi;
       mine = 0; count = 0
     }
  /* Kill and restart from the folder. */
  :: atomic {
       crashes < CRASHES ->
       crashes++;
       h[i].leader = false;
       h[i].votes = 0;
       h[i].commit = 0;
       h[i].last = h[i].durable_last;
       h[i].log[0] = h[i].durable[0];
       h[i].log[1] = h[i].durable[1];
#ifdef VOTE_TWICE
       h[i].vote = NOBODY;
#endif
       k = 0;
       do
       :: k < N -> h[i].match[k] = 0; k++
       :: else -> break
       od;
       k = 0
     }
  od
}

init {
  byte i;
  atomic {
    for (i : 0 .. 2) { h[i].vote = NOBODY }
    for (i : 0 .. MAXTERM) { leader_of[i] = NOBODY }
#ifdef DIVERGED
    for (i : 0 .. 2) { h[i].term = 2 }
    h[0].log[0] = 1; h[0].durable[0] = 1; h[0].last = 1; h[0].durable_last = 1;
    h[1].log[0] = 2; h[1].durable[0] = 2; h[1].last = 1; h[1].durable_last = 1;
#endif
    i = 0;
    run Voter(0);
    run Voter(1);
    run Voter(2)
  }
}
