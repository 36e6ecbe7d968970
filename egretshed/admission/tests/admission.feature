Feature: Requests are admitted in a fair order or refused at once

  # Guards against an order other than priority, customer share, deadline.
  Scenario Outline: Order <order> of <queued>
    Given 1 running request at most, and shares a=1, b=1, big=3
    And a request of customer "x" runs
    When <queued> are queued (customer:priority:deadline)
    Then they run in the order <order>

    Examples:
      | queued                                             | order                           |
      | a1:5:50 a2:5:40                                    | a2 a1                           |
      | a1:5:40 b1:4:50                                    | b1 a1                           |
      | a1:5:40 a2:5:41 a3:5:42 b1:5:50                    | a1 b1 a2 a3                     |
      | a1:5:40 a2:5:41 big1:5:50 big2:5:51 big3:5:52      | a1 big1 big2 big3 a2            |
      | a1:9:10 a2:5:40 b1:5:41 b2:1:50                    | b2 a2 b1 a1                     |

  # Guards against one customer's flood delaying another customer.
  Scenario Outline: Customer b's wait beside <flood> requests of customer a
    Given 1 running request at most, and shares a=1, b=1
    And a request of customer "x" runs
    When customer "a" queues <flood> requests and then customer "b" queues 1
    Then the request of customer "b" runs after at most 1 of "a"

    Examples:
      | flood |
      | 4     |
      | 400   |

  # Guards against requests that wait in vain and against a flood that fills the queue.
  Scenario Outline: <case>
    Given <slots> running requests at most, a queue of <room>, calls of <cost> s
    And <slots> requests of customer "x" run
    When customer "a" queues <first> requests with deadline <deadline> s
    And customer "b" queues 1 request with deadline <deadline> s
    And <passing> s pass
    Then the answers of "a" are <answers_a>
    And the answers of "b" are <answers_b>
    And every refusal names a return time

    Examples:
      | case                     | slots | room | cost | first | deadline | passing | answers_a                      | answers_b           |
      | backlog too long         | 1     | 50   | 1    | 6     | 4        | 0       | waiting 2 too_late 4           | waiting 1           |
      | flood fills the queue    | 1     | 5    | 0.01 | 8     | 60       | 0       | waiting 4 queue_full 4         | waiting 1           |
      | deadline while queued    | 1     | 50   | 1    | 1     | 5        | 6       | deadline_in_queue 1            | deadline_in_queue 1 |
      | told once it is too late | 1     | 50   | 1    | 1     | 5        | 4.1     | deadline_in_queue 1            | deadline_in_queue 1 |
      | told no sooner           | 1     | 50   | 1    | 1     | 5        | 3.8     | waiting 1                      | waiting 1           |
      | cannot end even if first | 2     | 50   | 3    | 1     | 2        | 0       | too_late 1                     | too_late 1          |

  # Guards against refused callers that all return in the same second.
  Scenario: Return times of 1000 refused requests are spread over the backlog
    Given 1 running requests at most, a queue of 5, calls of 0.01 s
    And 1 requests of customer "x" run
    When customer "a" queues 1000 requests with deadline 60 s
    Then no second holds more than 250 of the return times

  # Guards against a limit that stays too high when answers are late, or stays low.
  Scenario Outline: <late> of 10 answers late in each of 10 s, all slots in use
    Given a concurrency limit of at most 100, now at <start>
    When <late> of 10 answers are late in each of 10 windows
    Then the limit is from <least> to <most>

    Examples:
      | late | start | least | most |
      | 10   | 100   | 4     | 15   |
      | 0    | 20    | 30    | 40   |
      | 1    | 100   | 100   | 100  |

  # Guards against starting more than the free slots, and against never asking for any.
  Scenario Outline: With <available> free slots, <running> start at once
    Given 50 running requests at most and <available> slots available
    When customer "a" queues 20 requests with deadline 60 s
    Then <running> requests run

    Examples:
      | available | running |
      | 0         | 4       |
      | 7         | 7       |

  # Guards against queued requests that make no owner lend more.
  Scenario: Requests that wait for a full pool ask for more of its slots
    Given 50 running requests at most and 7 slots available
    When customer "a" queues 20 requests with deadline 60 s
    Then more slots of the pool were asked for

  # Guards against requests for one full pool that hold back those for another.
  Scenario: A full pool holds back only its own requests
    Given 50 running requests at most and 7 slots available
    When customer "a" queues 20 requests with deadline 60 s
    And customer "b" queues 4 requests for pool "other"
    Then the answers of "b" are admitted 4
    And 11 requests run

  # Guards against a request that waits its whole deadline for slots nobody lends.
  Scenario Outline: Requests while no owner lends for <seconds> s are <answers>
    Given 50 running requests at most and 0 slots available
    And no owner lends slots for <seconds> s
    When customer "a" queues 6 requests with deadline 5 s
    Then the answers of "a" are <answers>

    Examples:
      | seconds | answers              |
      | 6       | no_slots 6           |
      | 4       | admitted 4 waiting 2 |

  # Guards against a return time before any owner lends.
  Scenario: Queued requests are refused once it is known that nothing is lent in time
    Given 50 running requests at most and 0 slots available
    When customer "a" queues 6 requests with deadline 5 s
    And the owners say that they lend nothing for 6 s
    Then the answers of "a" are admitted 4 no_slots 2
    And every refusal names a return time from 6 s on

  # Guards against a slot that leaks when the caller gives up.
  Scenario: Cancelled admissions leave nothing behind
    Given 1 running requests at most, a queue of 5, calls of 0.01 s
    And 1 requests of customer "x" run
    When customer "a" queues 3 requests with deadline 60 s
    And all requests of "a" are cancelled and the running one ends
    Then 0 requests run
    And 0 requests are queued

  # Guards against an estimate above every deadline that is never measured again.
  Scenario: An idle node tries a request whose estimate exceeds its deadline
    Given 2 running requests at most, a queue of 5, calls of 9 s
    When customer "a" queues 2 requests with deadline 3 s
    Then 1 requests run

  # Guards against a baseline that orders or refuses like the real queue.
  Scenario: First come, first served refuses nothing
    Given 1 running request at most, first come, and shares a=1, b=1
    And a request of customer "x" runs
    When a1:5:50 b1:1:40 a2:5:0.001 are queued (customer:priority:deadline)
    Then they run in the order a1 b1 a2

  # Guards against a queue that is judged by the requests that a node may run at most.
  Scenario: Requests that the slots of their pool cannot serve in time are refused
    Given calls of 1 s on 4 slots, 4 of them in use
    When customer "a" queues 20 requests with deadline 4 s
    Then the answers of "a" are waiting 11 too_late 9
