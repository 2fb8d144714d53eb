/*
 * Ownership of one flow (docs/design.md, section 5).
 *
 * Agents 0 and 1 serve the targets of one service, agent 2 the target of
 * another. Entries are not modelled: any packet may reach any agent at any
 * time, which covers every bundle version, cache content and pause of an
 * entry. A packet may be delivered again at any later time (retransmission or
 * duplicate) and messages between agents may be lost within FAULTS.
 *
 * Steps of the implementation and their names here:
 *   FromPeer with a SYN                    Opening
 *   FromPeer with ACK and data             Data
 *   owner query and answer                 Ask (one step: an answer that comes
 *                                          later meets the ISN rule again)
 *   question to the host after a restart   HostHas
 *   agent restart, host restart            ReplaceAgent, RestartHost
 *
 * Variants that must fail:
 *   -DNO_ISN_RULE       data goes to any host with a claim
 *   -DNO_SERVICE_CHECK  an agent takes packets of another service
 *   -DRESET_UNKNOWN     a packet of an unknown flow is answered with a reset
 */

#define AGENTS  3
#define SERVICE_AGENTS 2
#define OTHER   2
#define NONE    0

/* Bounds of the search. */
#ifndef FAULTS
#define FAULTS 3
#endif
#ifndef ISNS
#define ISNS 3
#endif

mtype = { free, halfopen, established };

/* Agent state: the record of the flow and the ISN that it knows. */
mtype record[AGENTS] = free;
byte  recordISN[AGENTS];
bool  learning[AGENTS];      /* restarted beside a living host */

/* Host state: the connection that the host's TCP holds; NONE when there is none. */
byte hostISN[AGENTS];

/* SYN-ACKs on their way to the caller, by ISN. An ISN names one connection. */
bool synAck[ISNS + 1];
byte nextISN = 1;
bool isnAlive[ISNS + 1];            /* the host still has the connection */

/* Caller. */
bool synSent;
byte callerISN = NONE;       /* the connection that the caller completed */
bool callerReset;

/* Ghost state for the claims below. */
bool gotData[AGENTS];
bool delivered;              /* data reached the caller's connection */
byte faults = 0;

#define fault (faults < FAULTS)

/* Parameters of inlines have unique names, since Spin substitutes text. */

/* A host gets a SYN: it answers with the ISN of its connection, or a new one. */
inline HostSYN(h_syn) {
    if
    :: hostISN[h_syn] == NONE && nextISN <= ISNS ->
        hostISN[h_syn] = nextISN;
        isnAlive[nextISN] = true;
        nextISN++
    :: else
    fi;
    if
    :: hostISN[h_syn] != NONE ->
        /* The agent sees the SYN-ACK pass and learns the ISN. */
        recordISN[h_syn] = hostISN[h_syn];
        synAck[hostISN[h_syn]] = true
    :: else
    fi
}

/* A host gets data with an acknowledgment number. */
inline HostData(h_data, ack_data) {
    gotData[h_data] = true;
    if
    :: hostISN[h_data] == ack_data -> delivered = true
    :: else
    fi
}

inline Take(a_take) {
    record[a_take] = halfopen;
    recordISN[a_take] = NONE;
    HostSYN(a_take)
}

/* An opening reaches agent a, which may redirect it to the other one. */
inline Opening(a_open) {
    if
#ifndef NO_SERVICE_CHECK
    :: a_open == OTHER -> skip
#else
    :: a_open == OTHER -> Take(a_open); gotData[a_open] = true
#endif
    :: a_open != OTHER && record[a_open] != free -> HostSYN(a_open)
    :: a_open != OTHER && record[a_open] == free -> Take(a_open)
    :: a_open != OTHER && record[a_open] == free ->
        if
        :: record[1-a_open] != free -> HostSYN(1-a_open)
        :: else -> Take(1-a_open)
        fi
    fi
}

/* The packet passes the ISN rule of agent a. */
#ifndef NO_ISN_RULE
#define accepts(a, ack) (record[a] != free && recordISN[a] == ack)
#else
#define accepts(a, ack) (record[a] != free)
#endif

/* The host of an agent that was restarted shows that it has the connection. */
#define hostHas(a, ack) (learning[a] && record[a] == free && hostISN[a] == ack)

inline Deliver(a_dlv, ack_dlv) {
    record[a_dlv] = established;
    HostData(a_dlv, ack_dlv)
}

inline Adopt(a_adp, ack_adp) {
    record[a_adp] = established;
    recordISN[a_adp] = hostISN[a_adp];
    HostData(a_adp, ack_adp)
}

/* Data of the caller's connection reaches agent a. */
inline Data(a_dat, ack_dat) {
    if
    :: a_dat == OTHER -> skip
    :: a_dat != OTHER && accepts(a_dat, ack_dat) -> Deliver(a_dat, ack_dat)
    :: a_dat != OTHER && !accepts(a_dat, ack_dat) && hostHas(a_dat, ack_dat) -> Adopt(a_dat, ack_dat)
    :: a_dat != OTHER && !accepts(a_dat, ack_dat) && !hostHas(a_dat, ack_dat) ->
#ifdef RESET_UNKNOWN
        callerReset = true
#else
        /* Owner query to the other agent of the service; it may be lost. */
        if
        :: accepts(1-a_dat, ack_dat) ->
            /* The claim of this agent on the same opening has lost. */
            if
            :: record[a_dat] == halfopen ->
                if
                :: hostISN[a_dat] != NONE -> isnAlive[hostISN[a_dat]] = false
                :: else
                fi;
                record[a_dat] = free; hostISN[a_dat] = NONE
            :: else
            fi;
            Deliver(1-a_dat, ack_dat)
        :: hostHas(1-a_dat, ack_dat) -> Adopt(1-a_dat, ack_dat)
        :: !accepts(1-a_dat, ack_dat) && !hostHas(1-a_dat, ack_dat) ->
            /* A reset needs the knowledge that no host has the connection. */
            if
            :: !isnAlive[ack_dat] -> callerReset = true
            :: else
            fi
        :: fault -> faults++   /* query lost: no answer at all */
        fi
#endif
    fi
}

active proctype Caller() {
    byte a;
    byte i;
    synSent = true;
    do
    /* Send or repeat the SYN; any agent may get it, also late. */
    :: atomic { select(a : 0 .. 2); Opening(a) }
    /* A SYN-ACK arrives. The first one completes the handshake. */
    :: atomic {
        select(i : 1 .. ISNS);
        if
        :: callerISN == NONE && synAck[i] -> callerISN = i
        :: else
        fi
       }
    /* Send or repeat the request. */
    :: atomic {
        callerISN != NONE && !callerReset ->
        select(a : 0 .. 2);
        Data(a, callerISN)
       }
    od
}

active proctype Faults() {
    byte a;
    do
    /* The agent process is replaced while its host lives. */
    :: atomic {
        fault -> faults++;
        select(a : 0 .. 1);
        record[a] = free; recordISN[a] = NONE; learning[a] = true
       }
    /* The host restarts and loses its connections; its agent is told. */
    :: atomic {
        fault -> faults++;
        select(a : 0 .. 1);
        if
        :: hostISN[a] != NONE ->
            isnAlive[hostISN[a]] = false
        :: else
        fi;
        hostISN[a] = NONE; record[a] = free; recordISN[a] = NONE; learning[a] = false
       }
    /* A half-open claim expires. */
    :: atomic {
        fault -> faults++;
        select(a : 0 .. 1);
        if
        :: record[a] == halfopen && hostISN[a] != callerISN ->
            if
            :: hostISN[a] != NONE -> isnAlive[hostISN[a]] = false
            :: else
            fi;
            record[a] = free; hostISN[a] = NONE; recordISN[a] = NONE
        :: else
        fi
       }
    :: faults == FAULTS -> break
    od
}

/* No byte of a request reaches two hosts. */
#define oneHost   (!(gotData[0] && gotData[1]))
/* Nothing of the flow reaches a host of another service. */
#define ownService (!gotData[OTHER])

/* A caller is reset only when the host of its connection lost it. */
#define trueReset (!callerReset || !isnAlive[callerISN])

active proctype Monitor() {
end:
    atomic { !(oneHost && ownService && trueReset) -> assert(false) }
}
