Feature: Background tasks are restarted after an exception

  # Guards against a node that goes on without one of its tasks, such as the one that
  # fetches the configuration from peers while the store is unavailable.
  Scenario Outline: A task fails <failures> times
    Given a background task that fails <failures> times and then succeeds
    When <seconds> s pass
    Then the task is running: <worked>, and <failures> failures are logged

    Examples:
      | failures | seconds | worked |
      | 0        | 0.1     | yes    |
      | 1        | 0.6     | yes    |
      | 3        | 1.6     | yes    |
