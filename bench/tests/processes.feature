Feature: Processes of a run are stopped as an operator stops them

  Scenario: Stopping all signals each process once
    # Guards against a second SIGTERM, which orders the daemon to cut its requests.
    Given 3 processes that exit with 8 on a second SIGTERM
    When they are stopped with a limit of 20 s
    Then every one exits with 0

  Scenario: A process that ignores SIGTERM is killed
    # Guards against a run that never ends or leaves processes behind.
    Given 1 processes that ignore SIGTERM
    When they are stopped with a limit of 0.2 s
    Then every one exits with -9
