/*
 * Order of bundles (docs/design.md, section 8).
 *
 * A bundle is modelled as the number sequence * 2 + digest bit, so that the order
 * by (sequence, digest) is the numeric order. Two operators sign concurrently;
 * both of their bundles may carry the same sequence. The platform may answer with
 * any bundle that was ever published, however old. Packet loss and partitions
 * need no model of their own: an exchange between two processes may or may not
 * happen.
 *
 * Variants that must violate an assertion:
 *   -DLAST_ANSWER_WINS  a process adopts any bundle that differs from its own
 *   -DNO_TIE_BREAK      of two bundles with the same sequence, a process keeps
 *                       the one that it received first
 */

#define PROCESSES 3
#define NONE 0
#define sequence(b) ((b) / 2)

#ifdef LAST_ANSWER_WINS
#define supersedes(held, offered) ((offered) != NONE && (offered) != (held))
#else
#ifdef NO_TIE_BREAK
#define supersedes(held, offered) (sequence(offered) > sequence(held))
#else
#define supersedes(held, offered) ((offered) > (held))
#endif
#endif

byte held[PROCESSES];        /* the bundle in force, NONE when there is none */
bool serving[PROCESSES];
bool published[8];           /* bundles that the platform may answer with */
byte proposal[2];            /* the bundles that the two operators signed */
byte restarts = 0;
bool settled;                /* signing, restarts and stale answers have ended */
bool downgraded;             /* a process adopted a smaller bundle */

inline Offer(p_off, b_off) {
    if
    :: supersedes(held[p_off], b_off) ->
        if
        :: b_off < held[p_off] -> downgraded = true
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
    /* A process reads the platform, whose answer may be stale. */
    :: atomic {
        !settled ->
        select(p : 0 .. 2);
        select(b : 2 .. 7);
        if
        :: published[b] && serving[p] -> Offer(p, b)
        :: else
        fi
       }
    /* A process receives the bundle that another one has in force. */
    :: atomic {
        select(p : 0 .. 2);
        select(q : 0 .. 2);
        if
        :: serving[p] && serving[q] && held[q] != NONE -> Offer(p, held[q])
        :: else
        fi
       }
    /* A process restarts and loses its state. */
    :: atomic {
        !settled && restarts < 2 ->
        restarts++;
        select(p : 0 .. 2);
        held[p] = NONE;
        serving[p] = false
       }
    /* It serves again after it has asked a serving peer. The read of the platform
       is the first option above. */
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
    :: atomic { !settled && proposal[0] != NONE && proposal[1] != NONE -> settled = true }
    /* End: every serving process has received the bundles of all others, directly
       or through process 0. */
    :: atomic {
        settled && serving[0] && serving[1] && serving[2] ->
        Offer(0, held[1]); Offer(0, held[2]);
        Offer(1, held[0]); Offer(2, held[0]);
        break
       }
    od;
    /* All processes end with the same bundle. */
    assert(held[0] == held[1] && held[1] == held[2])
}

/* No running process replaces its bundle by a smaller one. */
active proctype Monitor() {
end:
    atomic { downgraded -> assert(false) }
}

init {
    byte i;
    atomic {
        for (i : 0 .. 2) { serving[i] = true }
    }
}
