Feature: A pause is found only if the process stood still

  # Guards against pauses that are found again and again, each of which makes requests
  # wait for the store, since the periodic check has not begun or has ended.
  Scenario Outline: The periodic check <state>
    Given a pause detector whose periodic check <state>
    When 10 s pass, in which requests ask for the last pause
    Then no pause was found

    Examples:
      | state         |
      | has not begun |
      | has ended     |
