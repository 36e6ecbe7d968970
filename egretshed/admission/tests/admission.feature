Feature: Requests are admitted in a fair order or refused early

  # Guards against a dispatch order other than priority, customer share, deadline.
  Scenario Outline: Queued requests <queued> run in the order <order>
    Given at most 1 running request and shares a=1, b=1, big=3
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

  # Guards against many requests of one customer delaying another customer.
  Scenario Outline: Customer b is not delayed by <flood> requests of customer a
    Given at most 1 running request and shares a=1, b=1
    And a request of customer "x" runs
    When customer "a" queues <flood> requests and then customer "b" queues 1
    Then the request of customer "b" runs after at most 1 of "a"

    Examples:
      | flood |
      | 4     |
      | 400   |

  # Guards against queueing requests that cannot meet their deadline, and against one
  # customer filling the queue for all others.
  Scenario Outline: <case>
    Given at most <slots> running requests, a queue of <room>, calls of <cost> s
    And <slots> requests of customer "x" run
    When customer "a" queues <first> requests with deadline <deadline> s
    And customer "b" queues 1 request with deadline <deadline> s
    And <passing> s pass
    Then the results of customer "a" are <answers_a>
    And the results of customer "b" are <answers_b>
    And every refusal has a retry delay

    Examples:
      | case                     | slots | room | cost | first | deadline | passing | answers_a                      | answers_b           |
      | backlog too long         | 1     | 50   | 1    | 6     | 4        | 0       | waiting 2 too_late 4           | waiting 1           |
      | flood fills the queue    | 1     | 5    | 0.01 | 8     | 60       | 0       | waiting 4 queue_full 4         | waiting 1           |
      | deadline while queued    | 1     | 50   | 1    | 1     | 5        | 6       | deadline_in_queue 1            | deadline_in_queue 1 |
      | told once it is too late | 1     | 50   | 1    | 1     | 5        | 4.1     | deadline_in_queue 1            | deadline_in_queue 1 |
      | told no sooner           | 1     | 50   | 1    | 1     | 5        | 3.8     | waiting 1                      | waiting 1           |
      | cannot end even if first | 2     | 50   | 3    | 1     | 2        | 0       | too_late 1                     | too_late 1          |

  # Guards against refused callers that all retry within the same second.
  Scenario: Retry delays of 1000 refused requests are spread over the backlog
    Given at most 1 running requests, a queue of 5, calls of 0.01 s
    And 1 requests of customer "x" run
    When customer "a" queues 1000 requests with deadline 60 s
    Then at most 250 retry delays end within the same second

  # Guards against a limit that does not fall while requests are late, or does not
  # grow again afterwards.
  Scenario Outline: <late> of 10 requests are late in each of 10 windows at the limit
    Given a concurrency limit of <start> that may grow to 100
    When <late> of 10 requests are late in each of 10 windows
    Then the limit is between <least> and <most>

    Examples:
      | late | start | least | most |
      | 10   | 100   | 4     | 15   |
      | 0    | 20    | 30    | 40   |
      | 1    | 100   | 100   | 100  |

  # Guards against starting more requests than there are free slots, and against
  # starting none, which would request no slot loans.
  Scenario Outline: With <available> free slots, <running> requests start at once
    Given at most 50 running requests and <available> slots available
    When customer "a" queues 20 requests with deadline 60 s
    Then <running> requests run

    Examples:
      | available | running |
      | 0         | 4       |
      | 7         | 7       |

  # Guards against queued requests for which no more slots are requested from owners.
  Scenario: Queued requests for a full pool cause a request for more of its slots
    Given at most 50 running requests and 7 slots available
    When customer "a" queues 20 requests with deadline 60 s
    Then more slots of the pool have been requested

  # Guards against requests for a full pool blocking those for another pool.
  Scenario: A full pool delays only its own requests
    Given at most 50 running requests and 7 slots available
    When customer "a" queues 20 requests with deadline 60 s
    And customer "b" queues 4 requests for pool "other"
    Then the results of customer "b" are admitted 4
    And 11 requests run

  # Guards against a request that waits until its deadline for slots that no owner lends.
  Scenario Outline: Requests are <answers> if no owner lends slots for <seconds> s
    Given at most 50 running requests and 0 slots available
    And no owner lends slots for <seconds> s
    When customer "a" queues 6 requests with deadline 5 s
    Then the results of customer "a" are <answers>

    Examples:
      | seconds | answers              |
      | 6       | no_slots 6           |
      | 4       | admitted 4 waiting 2 |

  # Guards against a retry delay that ends before any owner lends slots.
  Scenario: Queued requests are refused once no slot will be lent in time
    Given at most 50 running requests and 0 slots available
    When customer "a" queues 6 requests with deadline 5 s
    And the owners report that they lend no slots for 6 s
    Then the results of customer "a" are admitted 4 no_slots 2
    And every refusal has a retry delay of at least 6 s

  # Guards against leaking queue entries and running slots of cancelled requests.
  Scenario: Cancelled requests are neither queued nor counted as running
    Given at most 1 running requests, a queue of 5, calls of 0.01 s
    And 1 requests of customer "x" run
    When customer "a" queues 3 requests with deadline 60 s
    And the running request ends and all requests of "a" are cancelled
    Then 0 requests run
    And 0 requests are queued

  # Guards against an estimate above all deadlines that is never measured again.
  Scenario: An idle node runs one request whose estimate exceeds its deadline
    Given at most 2 running requests, a queue of 5, calls of 9 s
    When customer "a" queues 2 requests with deadline 3 s
    Then 1 requests run

  # Guards against a baseline queue that orders or refuses requests like the fair queue.
  Scenario: The first-come queue ignores priorities and refuses nothing
    Given at most 1 running request, first come, first served, and shares a=1, b=1
    And a request of customer "x" runs
    When a1:5:50 b1:1:40 a2:5:0.001 are queued (customer:priority:deadline)
    Then they run in the order a1 b1 a2

  # Guards against estimating the wait from the limit on running requests where the pool
  # has fewer slots.
  Scenario: Requests that the slots of their pool cannot run in time are refused
    Given calls of 1 s on 4 slots, 4 of them in use
    When customer "a" queues 20 requests with deadline 4 s
    Then the results of customer "a" are waiting 11 too_late 9
