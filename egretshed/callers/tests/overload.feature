Feature: A call that was given up counts as in flight until its server has ended it

  @known_red
  Scenario Outline: Calls given up <why> never overload a server
    # Guards against a slot that is lent again while its server still runs the call.
    # Each overload delayed further calls past their deadline, which raised the calls in
    # flight up to 15 at a limit of 8.
    Given a running node with the example deployment "laurentien" and loans of default duration
    And every engine is 30 times slower
    When 10 rounds of 20 route questions with a deadline of <deadline_s> s are given up
    Then no backend server had more calls in flight than its limit

    Examples:
      | why             | deadline_s |
      | at the deadline | 1.0        |
