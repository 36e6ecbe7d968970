Feature: Requests wait for tables that are younger than the last pause

  # Guards against requests that go on with old tables, since the process stood still
  # again while they waited.
  Scenario Outline: The process stands still for <again_s> s while a request waits
    Given a store that answers in 0.1 s and a request that waits after a pause
    When the process stands still for <again_s> s, <after_s> s later
    Then the tables are younger than the last pause when the request goes on

    Examples:
      | again_s | after_s |
      | 0.2     | 0.03    |
      | 0.6     | 0.03    |
