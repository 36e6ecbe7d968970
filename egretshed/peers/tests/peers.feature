Feature: Nodes authenticate each other, and a faulty connection affects no other one

  # Guards against unauthenticated nodes, and against failed calls during a key rotation.
  Scenario Outline: A caller with keys <caller> calls a node with keys <node>: <result>
    Given a node with the keys "<node>"
    And a caller with the keys "<caller>"
    When the caller probes the node
    Then the call is <result>

    Examples:
      | caller  | node    | result           |
      | k1      | k1      | answered         |
      | wrong   | k1      | peer_unavailable |
      | new     | old,new | answered         |
      | old     | new,old | answered         |
      | new,old | old     | peer_unavailable |

  # Guards against unauthenticated data that reaches a handler, exhausts memory or stops a
  # node.
  Scenario Outline: A connection that sends <bytes> is closed
    Given a node with the keys "k1"
    And a caller with the keys "k1"
    When an unauthenticated client sends <bytes>
    Then the client's connection is closed without a response
    And the node has handled 0 messages
    And the node has logged "<reason>"
    When the caller probes the node
    Then the call is answered

    Examples:
      | bytes                         | reason                     |
      | a frame with a wrong MAC      | first frame has a wrong MAC |
      | a frame length of 4 GB        | frame length 4294967295    |
      | a first frame length of 2 MB  | frame length 2097152       |
      | a frame shorter than its MAC  | frame length 3             |
      | an HTTP request               | frame length               |
      | nothing for a while           | no handshake               |

  # Guards against replayed traffic that takes effect again (P1, P2).
  Scenario: Replaying a recorded connection has no effect
    Given a node with the keys "k1"
    And a caller with the keys "k1" through a proxy
    When the caller probes the node
    Then the call is answered
    When an unauthenticated client sends the recorded bytes
    Then the client's connection is closed after the handshake
    And the node has handled 1 messages

  # Guards against accepting frames that are repeated or reflected within a connection.
  Scenario Outline: The connection is closed when the proxy is set to <mode> frames
    Given a node with the keys "k1"
    And a caller with the keys "k1" through a proxy
    And the proxy is set to <mode> frames
    When the caller probes the node
    And the caller probes the node
    Then the node has handled <handled> messages

    Examples:
      | mode    | handled |
      | repeat  | 2       |
      | reflect | 0       |

  # Guards against keeping a connection that has stalled for good while new ones work.
  Scenario: A stalled connection is replaced after the silence limit
    Given a node with the keys "k1"
    And a caller with the keys "k1" through a proxy
    When the caller probes the node
    Then the call is answered
    When the open connections stall
    And the caller probes the node
    Then the call is peer_unavailable
    When the silence limit passes
    And the caller probes the node
    Then the call is peer_unavailable
    When the caller probes the node
    Then the call is answered
    And the proxy has accepted 2 connections

  # Guards against a faulty message or handler that makes unrelated calls fail.
  Scenario Outline: The caller gets <result> for <fault>
    Given a node with the keys "k1"
    And a caller with the keys "k1"
    When the caller sends <fault>
    Then the call is <result>
    And the fields of the failure contain <error>
    When the caller probes the node
    Then the call is answered

    Examples:
      | fault                     | result           | error       |
      | a malformed body          | peer_unavailable | entry-2     |
      | an unknown message type   | peer_unavailable | entry-2     |
      | a call that is refused    | peer_rejected    | not_found   |
      | a call that fails         | peer_rejected    | internal    |
      | a call without a handler  | peer_rejected    | not_found   |

  # Guards against a node that still replies after it was stopped.
  Scenario: A stopped node closes the connections that it accepted
    Given a node with the keys "k1"
    And a caller with the keys "k1"
    When the caller probes the node
    And the node stops
    And the caller probes the node
    Then the call is peer_unavailable
    And the node has handled 1 messages

  # Guards against calls that reach another node than the one that was called.
  Scenario: A node with another id at the address is rejected
    Given a node with the keys "k1"
    And a caller with the keys "k1" that calls the node as entry-9
    When the caller probes the node
    Then the call is peer_unavailable
    And the node has handled 0 messages
