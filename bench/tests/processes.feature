Feature: Processes of a run are stopped gracefully, or killed after a time limit

  Scenario: Stopping all processes signals each of them once
    # Guards against a second SIGTERM, on which the daemon cuts off running requests.
    Given 3 processes that exit with 8 on a second SIGTERM
    When they are stopped with a limit of 20 s
    Then every process exits with 0

  Scenario: A process that ignores SIGTERM is killed
    # Guards against a run that does not end or leaves processes running.
    Given 1 processes that ignore SIGTERM
    When they are stopped with a limit of 0.2 s
    Then every process exits with -9
