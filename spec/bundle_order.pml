/*
 * Order of bundles (docs/design.md, section 8).
 *
 * A bundle is a number: sequence * 2 + digest bit, so that the order by
 * (sequence, digest) is the order of numbers. Two operators sign at the same
 * time; both of their bundles may carry the same sequence. The platform may
 * answer with any bundle that was ever published, however old. Links are lossy
 * and cut at will, since an exchange between two processes happens or not.
 *
 * Variants that must fail:
 *   -DLAST_ANSWER_WINS  a process takes any answer that differs from its own
 *   -DNO_TIE_BREAK      of two bundles with one sequence the first one stays
 */

#define PROCESSES 3
#define NONE 0
#define sequence(b) ((b) / 2)

#ifdef LAST_ANSWER_WINS
#define greater(held, offered) ((offered) != NONE && (offered) != (held))
#else
#ifdef NO_TIE_BREAK
#define greater(held, offered) (sequence(offered) > sequence(held))
#else
#define greater(held, offered) ((offered) > (held))
#endif
#endif

byte held[PROCESSES];        /* the bundle in force, NONE when there is none */
bool serving[PROCESSES];
bool published[8];           /* bundles that the platform may answer with */
byte proposal[2];              /* bundles of the two operators */
byte restarts = 0;
bool quiet;                  /* no more signing, restarts or stale answers */
bool reverted;

inline Offer(p_off, b_off) {
    if
    :: greater(held[p_off], b_off) ->
        if
        :: b_off < held[p_off] -> reverted = true
        :: else
        fi;
        held[p_off] = b_off
    :: else
    fi
}

/* Each operator signs a successor of a bundle that is published. */
active [2] proctype Operator() {
    byte base;
    atomic {
        select(base : 0 .. 2);
        if
        :: base == 0 || published[base * 2] || published[base * 2 + 1] ->
            proposal[_pid] = (base + 1) * 2 + _pid;
            published[proposal[_pid]] = true
        :: else
        fi
    }
}

active proctype Fleet() {
    byte p;
    byte q;
    byte b;
    do
    /* A process reads the platform, which may be stale. */
    :: atomic {
        !quiet ->
        select(p : 0 .. 2);
        select(b : 2 .. 7);
        if
        :: published[b] && serving[p] -> Offer(p, b)
        :: else
        fi
       }
    /* Two processes exchange what they have in force. */
    :: atomic {
        select(p : 0 .. 2);
        select(q : 0 .. 2);
        if
        :: serving[p] && serving[q] && held[q] != NONE -> Offer(p, held[q])
        :: else
        fi
       }
    /* A process is replaced and loses its memory. */
    :: atomic {
        !quiet && restarts < 2 ->
        restarts++;
        select(p : 0 .. 2);
        held[p] = NONE;
        serving[p] = false
       }
    /* It serves again after it asked a peer that serves, and the platform. */
    :: atomic {
        select(p : 0 .. 2);
        select(q : 0 .. 2);
        if
        :: !serving[p] && p != q && serving[q] ->
            if
            :: held[q] != NONE -> Offer(p, held[q])
            :: else
            fi;
            serving[p] = true
        :: else
        fi
       }
    :: atomic { !quiet && proposal[0] != NONE && proposal[1] != NONE -> quiet = true }
    /* The end: every serving process has heard from every other one. */
    :: atomic {
        quiet && serving[0] && serving[1] && serving[2] ->
        Offer(0, held[1]); Offer(0, held[2]);
        Offer(1, held[0]); Offer(2, held[0]);
        break
       }
    od;
    /* One order everywhere: all processes end with the same bundle. */
    assert(held[0] == held[1] && held[1] == held[2])
}

/* No process goes to a lesser bundle while it runs. */
active proctype Monitor() {
end:
    atomic { reverted -> assert(false) }
}

init {
    byte i;
    atomic {
        for (i : 0 .. 2) { serving[i] = true }
    }
}
