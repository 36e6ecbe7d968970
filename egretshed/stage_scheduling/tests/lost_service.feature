Feature: A service without servers takes no work and holds up nobody else

  # Load pattern: during a burst all servers of one stage service are taken out, and the
  # stages before it go on to serve requests that cannot be finished. Guards against
  # requests that wait in vain until their deadline, against results that nobody uses, and
  # against refusals while servers only failed a connection.
  Scenario Outline: The servers of "second" are <state>
    Given 2 servers of "first" and 2 of "second", which are <state>
    When 6 requests for "first" and "second" and 6 for "first" alone are submitted
    Then <refused> of the former are refused at once with a Retry-After of at most 2 s
    And <calls> pieces of requests that need "second" were sent to "first"
    And none of the latter is refused

    Examples:
      | state               | refused | calls |
      | listed              | 0       | 6     |
      | evacuated           | 6       | 0     |
      | leaving             | 6       | 0     |
      | gone                | 6       | 0     |
      | briefly unreachable | 0       | 6     |
