/*
 * Ownership of one flow (docs/design.md, section 5).
 *
 * Agents 0 and 1 run beside targets of one service, agent 2 beside a target of
 * another service. Entries are not modelled: any packet may reach any agent at any
 * time, which covers every bundle version, cache content and pause of an
 * entry. A packet may arrive again at any later time (retransmission or
 * duplicate). Messages between agents may be lost, up to FAULTS faults in all.
 *
 * Steps of the implementation and their names in the model:
 *   FromPeer with a SYN                    Opening
 *   FromPeer with ACK and data             Data
 *   owner query and answer                 Data, in the same step: an answer that
 *                                          comes later is subject to the ISN rule
 *                                          again
 *   question to the host after a restart   HostHas
 *   agent restart, host restart            ReplaceAgent, RestartHost
 *
 * Variants that must violate an assertion:
 *   -DNO_ISN_RULE       data goes to any host whose agent has a record of the flow
 *   -DNO_SERVICE_CHECK  an agent accepts packets of another service
 *   -DRESET_UNKNOWN     a packet of an unknown flow is answered with a reset
 */

#define AGENTS  3
#define SERVICE_AGENTS 2
#define OTHER_SERVICE_AGENT 2   /* the agent of the other service */
#define NONE    0

/* Bounds of the state space. */
#ifndef FAULTS
#define FAULTS 3
#endif
#ifndef ISNS
#define ISNS 3
#endif

mtype = { free, halfopen, established };

/* Agent state: the state of the flow and the initial sequence number (ISN) of
   the host that the agent knows. */
mtype flowState[AGENTS] = free;
byte  knownISN[AGENTS];
bool  learning[AGENTS];      /* agent restarted while its host kept running */

/* Host state: the connection that the host's TCP holds; NONE when there is none. */
byte hostISN[AGENTS];

/* SYN-ACKs in transit to the client, by ISN. An ISN identifies one connection. */
bool synAck[ISNS + 1];
byte nextISN = 1;
bool connectionExists[ISNS + 1];    /* the host still has the connection */

/* Client state. */
bool synSent;
byte clientISN = NONE;       /* ISN of the connection that the client completed */
bool clientReset;

/* Auxiliary state for the properties below. */
bool gotData[AGENTS];
bool delivered;              /* data reached the client's connection */
byte faults = 0;

#define faultAllowed (faults < FAULTS)

/* Parameters of inlines have unique names, since Spin expands inlines as text. */

/* A host receives a SYN and answers with the ISN of its connection, or a new one. */
inline HostSYN(h_syn) {
    if
    :: hostISN[h_syn] == NONE && nextISN <= ISNS ->
        hostISN[h_syn] = nextISN;
        connectionExists[nextISN] = true;
        nextISN++
    :: else
    fi;
    if
    :: hostISN[h_syn] != NONE ->
        /* The SYN-ACK passes through the agent, which learns the ISN from it. */
        knownISN[h_syn] = hostISN[h_syn];
        synAck[hostISN[h_syn]] = true
    :: else
    fi
}

/* A host receives data with an acknowledgment number. */
inline HostData(h_data, ack_data) {
    gotData[h_data] = true;
    if
    :: hostISN[h_data] == ack_data -> delivered = true
    :: else
    fi
}

inline AcceptOpening(a_acc) {
    flowState[a_acc] = halfopen;
    knownISN[a_acc] = NONE;
    HostSYN(a_acc)
}

/* An opening reaches agent a, which may redirect it to the other agent of the service. */
inline Opening(a_open) {
    if
#ifndef NO_SERVICE_CHECK
    :: a_open == OTHER_SERVICE_AGENT -> skip
#else
    :: a_open == OTHER_SERVICE_AGENT -> AcceptOpening(a_open); gotData[a_open] = true
#endif
    :: a_open != OTHER_SERVICE_AGENT && flowState[a_open] != free -> HostSYN(a_open)
    :: a_open != OTHER_SERVICE_AGENT && flowState[a_open] == free -> AcceptOpening(a_open)
    :: a_open != OTHER_SERVICE_AGENT && flowState[a_open] == free ->
        if
        :: flowState[1-a_open] != free -> HostSYN(1-a_open)
        :: else -> AcceptOpening(1-a_open)
        fi
    fi
}

/* The packet satisfies the ISN rule of agent a. */
#ifndef NO_ISN_RULE
#define satisfiesISNRule(a, ack) (flowState[a] != free && knownISN[a] == ack)
#else
#define satisfiesISNRule(a, ack) (flowState[a] != free)
#endif

/* The host of a restarted agent confirms that it has the connection. */
#define hostConfirms(a, ack) (learning[a] && flowState[a] == free && hostISN[a] == ack)

inline Deliver(a_dlv, ack_dlv) {
    flowState[a_dlv] = established;
    HostData(a_dlv, ack_dlv)
}

inline Adopt(a_adp, ack_adp) {
    flowState[a_adp] = established;
    knownISN[a_adp] = hostISN[a_adp];
    HostData(a_adp, ack_adp)
}

/* Data of the client's connection reaches agent a. */
inline Data(a_dat, ack_dat) {
    if
    :: a_dat == OTHER_SERVICE_AGENT -> skip
    :: a_dat != OTHER_SERVICE_AGENT && satisfiesISNRule(a_dat, ack_dat) -> Deliver(a_dat, ack_dat)
    :: a_dat != OTHER_SERVICE_AGENT && !satisfiesISNRule(a_dat, ack_dat) && hostConfirms(a_dat, ack_dat) -> Adopt(a_dat, ack_dat)
    :: a_dat != OTHER_SERVICE_AGENT && !satisfiesISNRule(a_dat, ack_dat) && !hostConfirms(a_dat, ack_dat) ->
#ifdef RESET_UNKNOWN
        clientReset = true
#else
        /* Owner query to the other agent of the service; it may be lost. */
        if
        :: satisfiesISNRule(1-a_dat, ack_dat) ->
            /* This agent's half-open flow of the same opening is dropped. */
            if
            :: flowState[a_dat] == halfopen ->
                if
                :: hostISN[a_dat] != NONE -> connectionExists[hostISN[a_dat]] = false
                :: else
                fi;
                flowState[a_dat] = free; hostISN[a_dat] = NONE
            :: else
            fi;
            Deliver(1-a_dat, ack_dat)
        :: hostConfirms(1-a_dat, ack_dat) -> Adopt(1-a_dat, ack_dat)
        :: !satisfiesISNRule(1-a_dat, ack_dat) && !hostConfirms(1-a_dat, ack_dat) ->
            /* A reset is sent only when no host has the connection. */
            if
            :: !connectionExists[ack_dat] -> clientReset = true
            :: else
            fi
        :: faultAllowed -> faults++   /* query lost, no answer */
        fi
#endif
    fi
}

active proctype Client() {
    byte a;
    byte i;
    synSent = true;
    do
    /* Send or retransmit the SYN; any agent may receive it, also late. */
    :: atomic { select(a : 0 .. 2); Opening(a) }
    /* A SYN-ACK arrives. The first one completes the handshake. */
    :: atomic {
        select(i : 1 .. ISNS);
        if
        :: clientISN == NONE && synAck[i] -> clientISN = i
        :: else
        fi
       }
    /* Send or retransmit the request. */
    :: atomic {
        clientISN != NONE && !clientReset ->
        select(a : 0 .. 2);
        Data(a, clientISN)
       }
    od
}

active proctype Faults() {
    byte a;
    do
    /* The agent restarts while its host keeps running. */
    :: atomic {
        faultAllowed -> faults++;
        select(a : 0 .. 1);
        flowState[a] = free; knownISN[a] = NONE; learning[a] = true
       }
    /* The host restarts and loses its connections; its agent is notified. */
    :: atomic {
        faultAllowed -> faults++;
        select(a : 0 .. 1);
        if
        :: hostISN[a] != NONE ->
            connectionExists[hostISN[a]] = false
        :: else
        fi;
        hostISN[a] = NONE; flowState[a] = free; knownISN[a] = NONE; learning[a] = false
       }
    /* A half-open flow expires. */
    :: atomic {
        faultAllowed -> faults++;
        select(a : 0 .. 1);
        if
        :: flowState[a] == halfopen && hostISN[a] != clientISN ->
            if
            :: hostISN[a] != NONE -> connectionExists[hostISN[a]] = false
            :: else
            fi;
            flowState[a] = free; hostISN[a] = NONE; knownISN[a] = NONE
        :: else
        fi
       }
    :: faults == FAULTS -> break
    od
}

/* No byte of a request reaches two hosts. */
#define dataAtOneHost (!(gotData[0] && gotData[1]))
/* No packet of the flow reaches a host of another service. */
#define onlyOwnService (!gotData[OTHER_SERVICE_AGENT])

/* A client is reset only when the host of its connection has lost it. */
#define justifiedReset (!clientReset || !connectionExists[clientISN])

active proctype Monitor() {
end:
    atomic { !(dataAtOneHost && onlyOwnService && justifiedReset) -> assert(false) }
}
