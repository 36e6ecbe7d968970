Feature: A failed request is explained from its id

  # Guards against logs from which nobody can tell why a request failed.
  Scenario Outline: Request <id>
    Given log lines of two nodes about requests r1 and r2
    When request "<id>" is explained
    Then the lines told are "<lines>" and the exit status is <status>

    Examples:
      | id | lines                                                                               | status |
      | r1 | server_changed placement_decision attempt_failed request_finished                   | 0      |
      | r2 | server_changed stage_job stage_call request_finished                                | 0      |
      | r3 |                                                                                     | 1      |
