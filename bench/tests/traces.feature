Feature: Faults in logs, lost connections and versions are reported

  Scenario Outline: A connection lost <case>
    # Guards against connections that planned work cuts off, and against blaming nodes
    # for those that a kill or a pause explains.
    Given "<name>" of "<target>" from <start> s to <end> s
    When a connection to "entry-1" that began at 10 s is lost at 11 s
    Then the promises "<promises>" are broken

    Examples:
      | case                       | name    | target  | start | end | promises |
      | while the node was down    | kill    | entry-1 | 9     | 12  |          |
      | just after a pause         | pause   | entry-1 | 5     | 8   |          |
      | long after a pause         | pause   | entry-1 | 1     | 2   | P8       |
      | before the node was killed | kill    | entry-1 | 12    | 13  | P8       |
      | while another node was     | kill    | entry-2 | 9     | 12  | P8       |
      | while the node was stopped | restart | entry-1 | 9     | 12  | P8       |

  Scenario Outline: A node's log has <line>
    # Guards against faults that no caller or server can see.
    Given the log line <line>
    Then the promises "<promises>" are broken

    Examples:
      | line                                                                 | promises |
      | {"message": "invariant_violated", "invariant": "P2_calls_within_loan"} | P2       |
      | {"message": "task_failed", "task": "slots"}                            | log      |
      | Traceback (most recent call last):                                     | log      |
      | {"message": "request_finished", "outcome": "failed"}                   |          |

  Scenario Outline: A node is seen at the versions <versions>
    # Guards against a configuration that reverts, also by a restart.
    Given a node is seen at the versions <versions>
    Then the promises "<promises>" are broken

    Examples:
      | versions | promises |
      | 1 2 2 3  |          |
      | 1 3 2 3  | P9       |

  Scenario Outline: A request ends as <outcome> after an answer <answer>
    # Guards against callers left alone, and refusals that do not say when to return.
    Given a request that ended as <outcome> after an answer <answer> with return <return>
    Then the promises "<promises>" are broken

    Examples:
      | outcome   | answer  | return | promises |
      | not_run   | not_run | 0.5    |          |
      | not_run   | not_run | null   | refusal  |
      | no_answer | lost    | null   |          |
      | no_answer | not_run | 0.5    | P4       |
