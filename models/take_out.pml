/* Take-out against start: docs/design.md section 3.7.
 *
 * The group (cluster log) commits revisions that set one domain's status to out
 * or in. Two hosts of the domain follow it with learners; either may act as the
 * authority and start a task. A host may go on without contact for AUTONOMY. It
 * counts from the time at which it sent the question that the group answered,
 * and the group counts from the time of its answer, which lies after it. Answers
 * may arrive late or never (a cut), and a host that takes no step is frozen.
 *
 * The operator's answer is in_force when every host has acknowledged the
 * revision or has provably stopped. An operator can also take the domain out at
 * a host directly; that holds until a newer command of the log.
 *
 * Without LOCAL: two hosts. With LOCAL: one host and local take-outs.
 *
 * Planted mistakes:
 *   FROM_ARRIVAL   a host counts its autonomy from the arrival of the answer
 *   EARLY_ACK      a host acknowledges a revision before its starts obey it
 *   NO_CHECK       a start does not look at the status again after a freeze
 *   IN_REVERTS     an older command of the log ends a local take-out (with
 *                  LOCAL)
 */
#ifdef LOCAL
#define N 1
#define END 5
#else
#define N 2
#define END 4
#endif
#define AUTONOMY 2
#define MAXREVISION 2

#define IN 0
#define OUT 1

/* The group. */
byte revision;
bit status;                /* of the newest revision */
byte answered_at[N];       /* time of the last answer to the host */
byte acknowledged[N];
bool in_force;             /* the operator was told so for the newest revision */
byte now = 1;

typedef Domain {
  byte asked_at;           /* 0: no question is open */
  byte answer_revision;    /* an answer on its way; valid when has_answer */
  bit answer_status;
  bool has_answer;
  byte contact;            /* base of the autonomy */
  byte revision;           /* applied */
  bit status;
  bool acting;             /* decided to start and has not started yet */
  bool local_out;
  byte local_revision;     /* revision applied when the domain was taken out */
};

Domain h[N];
bool taken_out[N];         /* a local take-out was ever made */

#define STOPPED(i) (answered_at[i] == 0 || answered_at[i] + AUTONOMY <= now)
#define MAY_START(i) (h[i].status == IN && !h[i].local_out && h[i].contact != 0 && h[i].contact + AUTONOMY > now)

proctype System() {
  byte i;
  do
  :: atomic {
       now < END ->
       now++;
       /* Times that are too old to matter are set to one value. */
       for (i : 0 .. (N - 1)) {
         if
         :: STOPPED(i) -> answered_at[i] = 0
         :: else -> skip
         fi;
         if
         :: h[i].contact + AUTONOMY <= now -> h[i].contact = 0
         :: else -> skip
         fi
       }
       i = 0
     }
  /* An operator's command is committed. */
  :: atomic {
       revision < MAXREVISION ->
       revision++;
       status = 1 - status;
       in_force = false
     }
  /* A host asks the group; the answer is made at once or later. */
  :: atomic {
       select(i : 0 .. (N - 1));
       if
       :: h[i].asked_at == 0 -> h[i].asked_at = now
       :: else -> h[i].asked_at = 0; h[i].has_answer = false  /* lost */
       fi;
       i = 0
     }
  /* The group answers with the newest revision. */
  :: atomic {
       select(i : 0 .. (N - 1));
       if
       :: h[i].asked_at != 0 && !h[i].has_answer ->
          h[i].has_answer = true;
          h[i].answer_revision = revision;
          h[i].answer_status = status;
          answered_at[i] = now
       :: else -> skip
       fi;
       i = 0
     }
  /* The answer arrives and is applied. */
  :: atomic {
       select(i : 0 .. (N - 1));
       if
       :: h[i].has_answer ->
#ifdef FROM_ARRIVAL
          h[i].contact = now;
#else
          h[i].contact = h[i].asked_at;
#endif
          if
#ifdef IN_REVERTS
          :: h[i].local_out && h[i].answer_status == IN ->
#else
          :: h[i].local_out && h[i].answer_revision > h[i].local_revision ->
#endif
             h[i].local_out = false
          :: else -> skip
          fi;
          h[i].revision = h[i].answer_revision;
          h[i].status = h[i].answer_status;
          h[i].has_answer = false;
          h[i].answer_revision = 0;
          h[i].answer_status = IN;
          h[i].asked_at = 0
       :: else -> skip
       fi;
       i = 0
     }
  /* The host's acknowledgement reaches the group. */
  :: atomic {
       select(i : 0 .. (N - 1));
       if
#ifdef EARLY_ACK
       :: h[i].has_answer && h[i].answer_revision > acknowledged[i] ->
          acknowledged[i] = h[i].answer_revision
#else
       :: h[i].revision > acknowledged[i] ->
          acknowledged[i] = h[i].revision
#endif
       :: else -> skip
       fi;
       i = 0
     }
  /* The operator gets in_force. */
  :: atomic {
       revision > 0 && !in_force &&
       (acknowledged[0] == revision || STOPPED(0)) &&
       (acknowledged[N - 1] == revision || STOPPED(N - 1)) ->
       in_force = true
     }
#ifdef LOCAL
  /* A local take-out. */
  :: atomic {
       select(i : 0 .. (N - 1));
       if
       :: !h[i].local_out ->
          h[i].local_out = true;
          taken_out[i] = true;
          h[i].local_revision = h[i].revision
       :: else -> skip
       fi;
       i = 0
     }
#endif
  /* The authority decides to start a task, and starts it, possibly after a
   * freeze. */
  :: atomic {
       select(i : 0 .. (N - 1));
       if
       :: !h[i].acting && MAY_START(i) -> h[i].acting = true
       :: h[i].acting ->
          if
#ifdef NO_CHECK
          :: true ->
#else
          :: MAY_START(i) ->
#endif
             assert(!(in_force && status == OUT));
             /* A local take-out holds until a newer command of the log. */
             assert(!taken_out[i] || h[i].revision > h[i].local_revision)
          :: true -> skip
          fi;
          h[i].acting = false
       :: else -> skip
       fi;
       i = 0
     }
  od
}

init {
  atomic {
    h[0].contact = 1;
    h[N - 1].contact = 1;
    answered_at[0] = 1;
    answered_at[N - 1] = 1;
    run System()
  }
}
