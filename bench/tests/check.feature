Feature: The checks report every breach in the records, and nothing else

  Scenario: A run without faults has no breach
    # Guards against checks that report breaches in healthy runs.
    Given the records of a healthy run
    Then no breach is reported

  Scenario Outline: <fault>
    # Guards against checks that cannot fail.
    Given the records of a healthy run
    When <record> field "<path>" becomes <value>
    Then exactly the breaches "<breaches>" are reported

    Examples:
      | fault                              | record          | path                             | value                                                                                | breaches |
      | work for no request                | the engine call | request_id                       | "other"                                                                              | P1       |
      | work under another customer        | the engine call | customer_id                      | "other"                                                                              | P1       |
      | attempt sent twice                 | the engine call | attempt_id                       | "entry-1:1:2"                                                                        | P1       |
      | answer without a completed call    | the engine call | outcome                          | "failed"                                                                             | P1       |
      | foreign or partial answer          | the callers     | 0.faults                         | ["other token"]                                                                      | P4       |
      | caller left without an answer      | the callers     | 0.outcome                        | "no_answer"                                                                          | P4       |
      | cold server sent too much          | the engine      | cold_periods.0.over_limit_starts | [[0.1, 3]]                                                                           | P2       |
      | start after the domain left        | the engine call | after_out_s                      | 2.1                                                                                  | P3       |
      | start just before the limit        | the engine call | after_out_s                      | 1.9                                                                                  |          |
      | start after the server left        | the engine call | after_leaving_s                  | 2.1                                                                                  | P7       |
      | refusal after work had begun       | the callers     | 0.answers.0.outcome              | "not_run"                                                                            | P5       |
      | refusal by a node not asked before | the callers     | 0.answers.0                      | {"node_id": "entry-2", "request_id": "q1", "outcome": "not_run", "received_s": 11.0} |          |
      | booking run at two servers         | the second call | request_id                       | "booking"                                                                            | P1 P6    |
      | booking refused by a full server   | the second call | outcome                          | "rejected"                                                                           | P1       |
      | node cut requests at its stop      | the exits       | entry-1                          | 8                                                                                    | P8       |
      | node asserted a broken invariant   | the metrics     | entry-1                          | "violated"                                                                           | P2       |

  Scenario: Answers that the nodes did not count are reported
    # Guards against answers that a caller records without receiving them, or twice.
    Given the records of a healthy run
    When the metrics field "entry-1" becomes "uncounted"
    Then exactly the breaches "P1" are reported

  Scenario Outline: A server that turns cold by itself, <case>
    # Guards against reporting calls that started before the owner could detect the cold
    # server, and against ignoring those that started later.
    Given the records of a healthy run
    When the engine field "cold_periods.0.unwarned" becomes true
    And the engine field "cold_periods.0.over_limit_starts" becomes <starts>
    Then exactly the breaches "<breaches>" are reported

    Examples:
      | case          | starts     | breaches |
      | at first      | [[0.5, 3]] |          |
      | after a while | [[2.5, 3]] | P2       |
