Feature: A fault in a background task ends neither the task nor the node

  # Guards against a node that serves on without one of its tasks, such as the one that
  # asks peers for the configuration while the store is away.
  Scenario Outline: A task fails <failures> times
    Given a background task that fails <failures> times and then works
    When <seconds> s pass
    Then it has worked: <worked>, and <failures> faults were logged

    Examples:
      | failures | seconds | worked |
      | 0        | 0.1     | yes    |
      | 1        | 0.6     | yes    |
      | 3        | 1.6     | yes    |
