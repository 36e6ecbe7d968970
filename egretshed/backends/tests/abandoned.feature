Feature: A call whose result nobody waits for is given up

  Scenario: The connection of an abandoned call is closed without an error in the log
    # Guards against a traceback for every call that a slow engine goes on answering.
    Given an engine that makes a token every 0.2 s
    When a call with a progress limit of 0.05 s is given up
    Then the engine's call ends as cancelled
    And no error was logged
