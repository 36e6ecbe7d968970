Feature: One caller that has left does not end the check of the others

  # Guards against a check of all connections that fails at one that was closed just
  # before, so that the others get their answers late.
  Scenario: One of two overdue callers leaves while the node stands still
    Given a server with the limits idle 60 s, head 1 s, 65536 head bytes, 1000 body bytes
    When two callers send half a head, and one leaves while the node stands still for 2 s
    Then the other one is answered 408 within 0.3 s, and no error is unhandled
