Feature: A call that exceeds its progress limit is abandoned

  Scenario: The connection of an abandoned call is closed without a logged error
    # Guards against a logged traceback for each call to which a slow engine continues
    # to send tokens after nobody awaits its result.
    Given an engine that makes a token every 0.2 s
    When a call exceeds its progress limit of 0.05 s
    Then the engine's call ends as cancelled
    And no error was logged
