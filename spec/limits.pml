/*
 * Conservation of one slot of a fleet-wide limit.
 *
 * The slot has TOTAL units of capacity. Process A is its first owner and lends to the others; any
 * process may pause, resume or crash; ownership moves to N when A hands the slot over or when the
 * platform's list lacks A. The network keeps every message: each may arrive at any time, late, out
 * of order, more than once, or never. Messages between two processes carry sequence numbers, and
 * only the next one is applied.
 *
 * Checked after each step: the total that running processes may use never exceeds TOTAL.
 *
 * Mutants, each of which must fail:
 *   -DNO_DEDUPE         applies duplicates of a message
 *   -DINCREASE_FIRST    the new owner starts before the others have reported
 *   -DNO_SUSPENSION     a paused process continues immediately when it resumes
 *   -DANY_GENERATION    accepts credit that was lent under an earlier owner
 *   -DREUSE_LENT        an owner also uses what it has lent
 */

#define TOTAL 2
#define A 0
#define B 1
#define N 2
#define NODES 3
#define LINK(from, to) ((from) * NODES + (to))
#define LINKS 9
#define LENGTH 3
#define SENT(link, i) ((link) * LENGTH + (i))

mtype = { LEND, GIVE_BACK, CLAIM, REPORT };
mtype = { RUNNING, PAUSED, SUSPENDED, STOPPED };

typedef message {
    mtype kind;
    byte generation;
    byte amount
};

message sent[27];
byte count[LINKS];
byte applied[LINKS];

mtype state[NODES];
bool owns[NODES];
bool recovering;
byte generation[NODES];
byte owner[NODES];
/* Generation that a process knew when it noticed its pause. */
byte generation_at_resume[NODES];
byte borrowed[NODES];
/* lent[LINK(owner, borrower)] */
byte lent[LINKS];
bool reported[NODES];
/* closed[LINK(x, y)]: x has reclaimed what it lent to y, because the list lacked y */
bool closed[LINKS];

/* The platform's allocation table. */
byte table_generation = 1;
byte table_owner = A;

byte pauses;
byte link;
byte message_index;
byte received_generation;
byte received_amount;

#define SPACE(from, to) (count[LINK(from, to)] < LENGTH)

inline push(from, to, k, g, n) {
    assert(SPACE(from, to));
    link = LINK(from, to);
    message_index = SENT(link, count[link]);
    sent[message_index].kind = k;
    sent[message_index].generation = g;
    sent[message_index].amount = n;
    count[link]++;
    link = 0;
    message_index = 0
}

#define LENT(n) (lent[LINK(n, A)] + lent[LINK(n, B)] + lent[LINK(n, N)])
#define USABLE(n) ((state[n] == RUNNING) * ((owns[n] -> TOTAL - LENT(n) : 0) + borrowed[n]))

inline check() {
    assert(USABLE(A) + USABLE(B) + USABLE(N) <= TOTAL)
}

/* A process that the fleet has replaced gives up its ownership and credit. */
inline stop_process(n) {
    state[n] = STOPPED;
    owns[n] = false;
    borrowed[n] = 0;
    if
    :: n == N -> recovering = false
    :: else
    fi
}

inline observe_owner(n, g, o) {
    if
    :: g > generation[n] && owns[n] -> stop_process(n)
    :: else
    fi;
    if
    :: g > generation[n] ->
        generation[n] = g;
        owner[n] = o
    :: else
    fi
}

#ifdef ANY_GENERATION
#define CURRENT(n, g) (true)
#else
#define CURRENT(n, g) ((g) == generation[n])
#endif

/* Applies message i from x at y. */
inline apply(x, y, i) {
    message_index = SENT(LINK(x, y), i);
    received_generation = sent[message_index].generation;
    received_amount = sent[message_index].amount;
    if
    :: sent[message_index].kind == LEND ->
        observe_owner(y, received_generation, x);
        if
        :: state[y] != STOPPED && CURRENT(y, received_generation) ->
            borrowed[y] = borrowed[y] + received_amount
        :: else
        fi
    :: sent[message_index].kind == GIVE_BACK ->
        if
        :: owner[y] != y || received_generation != generation[y]
        :: else ->
            if
            :: owns[y] || (recovering && reported[x]) ->
                if
                :: lent[LINK(y, x)] >= received_amount ->
                    lent[LINK(y, x)] = lent[LINK(y, x)] - received_amount
                :: else ->
                    lent[LINK(y, x)] = 0
                fi
            :: else
            fi
        fi
    :: sent[message_index].kind == CLAIM ->
        observe_owner(y, received_generation, x);
        if
        :: state[y] != STOPPED && SPACE(y, x) ->
            push(y, x, REPORT, generation[y], borrowed[y])
        :: else
        fi
    :: sent[message_index].kind == REPORT ->
        if
        :: y == N && recovering && !reported[x] ->
            reported[x] = true;
            lent[LINK(y, x)] = received_amount
        :: else
        fi
    fi;
#ifndef NO_DEDUPE
    /* Never read again; cleared so that equivalent states compare equal. */
    sent[SENT(LINK(x, y), i)].kind = 0;
    sent[SENT(LINK(x, y), i)].generation = 0;
    sent[SENT(LINK(x, y), i)].amount = 0;
#endif
    message_index = 0;
    received_generation = 0;
    received_amount = 0
}

/* The network: any message sent earlier may arrive now. Only the next one is applied. */
inline deliver(x, y) {
    if
    :: state[y] != PAUSED && state[y] != STOPPED && applied[LINK(x, y)] < count[LINK(x, y)] &&
       !closed[LINK(y, x)] ->
        applied[LINK(x, y)]++;
        apply(x, y, applied[LINK(x, y)] - 1)
#ifdef NO_DEDUPE
    :: state[y] == RUNNING && applied[LINK(x, y)] > 0 && !closed[LINK(y, x)] ->
        apply(x, y, applied[LINK(x, y)] - 1)
#endif
    fi
}

inline lend(x, y) {
    owns[x] && state[x] == RUNNING && LENT(x) < TOTAL && SPACE(x, y) && !closed[LINK(x, y)] ->
#ifndef REUSE_LENT
    lent[LINK(x, y)]++;
#endif
    push(x, y, LEND, generation[x], 1)
}

inline give_back(x) {
    state[x] == RUNNING && borrowed[x] > 0 && owner[x] != x && SPACE(x, owner[x]) ->
    borrowed[x]--;
    push(x, owner[x], GIVE_BACK, generation[x], 1)
}

inline pause_or_crash(x) {
    if
    :: state[x] == RUNNING && pauses < 2 -> pauses++; state[x] = PAUSED
    :: state[x] == RUNNING && pauses < 2 -> pauses++; stop_process(x)
    fi
}

inline resume(x) {
    state[x] == PAUSED ->
    generation_at_resume[x] = generation[x];
#ifdef NO_SUSPENSION
    state[x] = RUNNING
#else
    state[x] = SUSPENDED
#endif
}

/*
 * A resumed process reads the table and asks its peers whether they still consider it running.
 * Their responses restart the dwell for which the list must lack it, so that the step is atomic.
 */
inline confirm(x) {
    state[x] == SUSPENDED ->
    if
    :: closed[LINK(A, x)] || closed[LINK(B, x)] || closed[LINK(N, x)] -> stop_process(x)
    :: table_generation != generation_at_resume[x] && (owns[x] || borrowed[x] > 0) -> stop_process(x)
    :: else ->
        state[x] = RUNNING;
        generation_at_resume[x] = 0;
        if
        :: table_owner != x ->
            generation[x] = table_generation;
            owner[x] = table_owner
        :: else
        fi
    fi
}

/* The list has lacked y for the dwell: x reclaims what it lent to y. */
inline close(x, y) {
    (owns[x] || (x == N && recovering)) && state[x] == RUNNING && !closed[LINK(x, y)] &&
    (state[y] == STOPPED || state[y] == PAUSED || state[y] == SUSPENDED) ->
    closed[LINK(x, y)] = true;
    lent[LINK(x, y)] = 0
}

/* A hands the slot over: it gives up ownership first, then the table names N. */
inline hand_over() {
    owns[A] && state[A] == RUNNING && table_owner == A ->
    owns[A] = false;
    borrowed[A] = borrowed[A] + TOTAL - LENT(A);
    lent[LINK(A, B)] = 0;
    lent[LINK(A, N)] = 0
}

/* N's conditional write; the list may lag, so A may have resumed since it was last listed. */
inline take_over() {
    state[N] == RUNNING && table_owner == A && (!owns[A] || state[A] != RUNNING || pauses > 0) ->
    table_owner = N;
    table_generation = 2
}

/* N reads the table, even if the response to its write was lost, and sends claims to all. */
inline start_recovery() {
    state[N] == RUNNING && table_owner == N && generation[N] == 1 && SPACE(N, A) && SPACE(N, B) ->
    generation[N] = 2;
    owner[N] = N;
    recovering = true;
    push(N, A, CLAIM, 2, 0);
    push(N, B, CLAIM, 2, 0)
}

#define SETTLED(x) \
    (reported[x] || state[x] == STOPPED || state[x] == PAUSED)

/* The dwell is longer than the list's lag, so N has seen every process that is running now. */
inline activate() {
    state[N] == RUNNING && recovering &&
#ifdef INCREASE_FIRST
    true ->
#else
    SETTLED(A) && SETTLED(B) ->
#endif
    recovering = false;
    owns[N] = true;
    borrowed[N] = 0;
    if
    :: !reported[A] -> closed[LINK(N, A)] = true
    :: else
    fi;
    if
    :: !reported[B] -> closed[LINK(N, B)] = true
    :: else
    fi
}

active proctype fleet()
{
    atomic {
        state[A] = RUNNING;
        state[B] = RUNNING;
        state[N] = RUNNING;
        generation[A] = 1;
        generation[B] = 1;
        generation[N] = 1;
        owner[A] = A;
        owner[B] = A;
        owner[N] = A;
        owns[A] = true
    }
end:
    do
    :: d_step { lend(A, B); check() }
    :: d_step { lend(A, N); check() }
    :: d_step { lend(N, B); check() }
    :: d_step { lend(N, A); check() }
    :: d_step { give_back(A); check() }
    :: d_step { give_back(B); check() }
    :: d_step { give_back(N); check() }
    :: d_step { deliver(A, B); check() }
    :: d_step { deliver(A, N); check() }
    :: d_step { deliver(B, A); check() }
    :: d_step { deliver(B, N); check() }
    :: d_step { deliver(N, A); check() }
    :: d_step { deliver(N, B); check() }
    :: d_step { pause_or_crash(A); check() }
    :: d_step { pause_or_crash(B); check() }
    :: d_step { pause_or_crash(N); check() }
    :: d_step { resume(A); check() }
    :: d_step { resume(B); check() }
    :: d_step { resume(N); check() }
    :: d_step { confirm(A); check() }
    :: d_step { confirm(B); check() }
    :: d_step { confirm(N); check() }
    :: d_step { close(A, B); check() }
    :: d_step { close(A, N); check() }
    :: d_step { close(N, A); check() }
    :: d_step { close(N, B); check() }
    :: d_step { hand_over(); check() }
    :: d_step { take_over(); check() }
    :: d_step { start_recovery(); check() }
    :: d_step { activate(); check() }
    od
}
