Feature: Only nodes that hold a key can talk, and a bad connection ends nothing else

  # Guards against strangers, and against an outage while keys are replaced.
  Scenario Outline: A caller with keys <caller> at a node with keys <node> is <result>
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

  # Guards against bytes of strangers that reach a handler, fill memory or end a node.
  Scenario Outline: A connection that sends <bytes> is closed
    Given a node with the keys "k1"
    And a caller with the keys "k1"
    When a stranger sends <bytes>
    Then the stranger's connection is closed without an answer
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

  # Guards against recorded traffic that takes effect again (P1, P2).
  Scenario: A recorded connection has no effect when replayed
    Given a node with the keys "k1"
    And a caller with the keys "k1" through a relay
    When the caller probes the node
    Then the call is answered
    When a stranger sends the recorded bytes
    Then the stranger's connection is closed after the handshake
    And the node has handled 1 messages

  # Guards against frames that are repeated or reflected within a connection.
  Scenario Outline: A relay that does <mode> ends the connection
    Given a node with the keys "k1"
    And a caller with the keys "k1" through a relay
    And the relay does <mode>
    When the caller probes the node
    And the caller probes the node
    Then the node has handled <handled> messages

    Examples:
      | mode    | handled |
      | repeat  | 2       |
      | reflect | 0       |

  # Guards against a connection that went silent for good while new ones work.
  Scenario: A silent connection is replaced after the silence limit
    Given a node with the keys "k1"
    And a caller with the keys "k1" through a relay
    When the caller probes the node
    Then the call is answered
    When the open connections go silent
    And the caller probes the node
    Then the call is peer_unavailable
    When the silence limit passes
    And the caller probes the node
    Then the call is peer_unavailable
    When the caller probes the node
    Then the call is answered
    And the relay has had 2 connections

  # Guards against one faulty message or handler that ends unrelated calls.
  Scenario Outline: <fault> is told to the caller as <result>
    Given a node with the keys "k1"
    And a caller with the keys "k1"
    When the caller sends <fault>
    Then the call is <result>
    And the failure names <error>
    When the caller probes the node
    Then the call is answered

    Examples:
      | fault                     | result           | error       |
      | a malformed body          | peer_unavailable | entry-2     |
      | an unknown message type   | peer_unavailable | entry-2     |
      | a call that is refused    | peer_rejected    | not_found   |
      | a call that fails         | peer_rejected    | internal    |
      | a call without a handler  | peer_rejected    | not_found   |

  # Guards against a node that goes on answering after it stopped.
  Scenario: A stopped node closes the connections that it accepted
    Given a node with the keys "k1"
    And a caller with the keys "k1"
    When the caller probes the node
    And the node stops
    And the caller probes the node
    Then the call is peer_unavailable
    And the node has handled 1 messages

  # Guards against calls that reach another node than the one named.
  Scenario: A node with another id at the address is not accepted
    Given a node with the keys "k1"
    And a caller with the keys "k1" that expects entry-9 there
    When the caller probes the node
    Then the call is peer_unavailable
    And the node has handled 0 messages
