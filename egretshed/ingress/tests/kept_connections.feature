Feature: A request on an open connection is answered although limits run out or change

  A caller may reuse a connection that was idle for four fifths of the limit in force.

  # Guards against a connection that is closed by the timer of the wait although a whole
  # request was read from it, or lies in its socket, because the event loop was blocked.
  Scenario Outline: The rest of a request arrives <when> as its time runs out, <sent> sent
    Given a server with the limits idle 0.4 s, head 0.4 s, 1000 head bytes, 2000 body bytes
    And a <kind> connection on which <sent> was sent
    When the rest of the request arrives <when>
    Then the caller is answered with 200

    Examples:
      | kind | sent               | when                                   |
      | new  | nothing            | while the loop is blocked              |
      | kept | nothing            | while the loop is blocked              |
      | kept | half of the head   | while the loop is blocked              |
      | kept | the head           | while the loop is blocked              |
      | kept | half of the body   | while the loop is blocked              |
      | new  | nothing            | after the blocked loop looked for bytes |
      | kept | nothing            | after the blocked loop looked for bytes |
      | kept | half of the head   | after the blocked loop looked for bytes |
      | kept | the head           | after the blocked loop looked for bytes |
      | kept | half of the body   | after the blocked loop looked for bytes |

  # Guards against limits that do not apply to connections that are already open: callers
  # count on a raised limit at once.
  Scenario Outline: <limit> is raised to <raised> with <sent> sent
    Given a server with the limits idle 0.4 s, head 0.4 s, 1000 head bytes, 100 body bytes
    And a kept connection on which <sent> was sent
    When <limit> is raised to <raised>
    And the rest of the request arrives <rest_s> s later
    Then the caller is answered with 200

    Examples:
      | limit        | raised | sent             | rest_s |
      | idle_s       | 4      | nothing          | 1.5    |
      | header_s     | 4      | half of the head | 1.5    |
      | idle_s       | 4      | the head         | 1.5    |
      | idle_s       | 4      | half of the body | 1.5    |
      | header_bytes | 4000   | nothing          | 0.1    |
      | header_bytes | 4000   | half of the head | 0.1    |
      | body_bytes   | 10000  | nothing          | 0.1    |
      | body_bytes   | 10000  | half of the head | 0.1    |

  # Guards against a request that is refused or cut although it kept the limit that was
  # in force as it began, or that its caller still knows.
  Scenario Outline: <limit> is lowered to <lowered> with <sent> sent
    Given a server with the limits idle 4 s, head 4 s, 4000 head bytes, 10000 body bytes
    And a kept connection on which <sent> was sent
    When <limit> is lowered to <lowered>
    And the rest of the request arrives <rest_s> s later
    Then the caller is answered with 200

    Examples:
      | limit        | lowered | sent             | rest_s |
      | idle_s       | 0.4     | nothing          | 1.2    |
      | header_s     | 0.4     | half of the head | 1.2    |
      | idle_s       | 0.4     | the head         | 1.2    |
      | idle_s       | 0.4     | half of the body | 1.2    |
      | header_bytes | 1000    | half of the head | 0.1    |

    Examples: Sizes that are refused
      | limit        | lowered | sent             | rest_s |
      | body_bytes   | 100     | nothing          | 0.1    |
      | body_bytes   | 100     | half of the head | 0.1    |
      | body_bytes   | 100     | the head         | 0.1    |
      | body_bytes   | 100     | half of the body | 3.5    |

  # Guards against connections that are never closed, or under a limit from before.
  Scenario Outline: A <kind> connection is idle with a limit of <first_s> s, then <then_s> s
    Given a server with the limits idle <first_s> s, head 4 s, 1000 head bytes, 2000 body bytes
    And a <kind> connection on which nothing was sent
    When idle_s is changed to <then_s>
    Then the connection is closed without an answer after <least_s> to <most_s> s

    Examples:
      | kind | first_s | then_s | least_s | most_s |
      | new  | 0.8     | 0.8    | 0.7     | 2.0    |
      | kept | 0.8     | 0.8    | 0.7     | 2.0    |

    Examples: Changed limits
      | kind | first_s | then_s | least_s | most_s |
      | kept | 30      | 0.8    | 0.7     | 4.0    |
      | kept | 0.8     | 2.0    | 1.9     | 3.5    |

  # Guards against requests that hold a connection without end, and against callers that
  # cannot tell whether a request that came too slowly was run. 408 promises that not.
  Scenario Outline: A request stops after <sent>, then a byte follows each <pace_s> s
    Given a server with the limits idle 0.8 s, head 0.8 s, 1000 head bytes, 2000 body bytes
    And a kept connection on which <sent> was sent
    When its caller goes on with a byte each <pace_s> s
    Then the caller is answered with 408
    And its connection is closed within 3 s
    And no request of it is handled

    Examples:
      | sent             | pace_s |
      | half of the head | 9      |
      | half of the head | 0.05   |
      | the head         | 9      |
      | half of the body | 9      |
      | half of the body | 0.05   |

  # Guards against a request that is run after its caller was told that it was not.
  Scenario Outline: The rest of a request arrives after 408, with <sent> sent
    Given a server with the limits idle 0.4 s, head 0.4 s, 1000 head bytes, 2000 body bytes
    And a kept connection on which <sent> was sent
    When its caller sends the rest of the request once it is answered
    Then the caller is answered with 408
    And no request of it is handled

    Examples:
      | sent             |
      | half of the head |
      | half of the body |

  # Guards against a connection that is closed without an answer for its size.
  Scenario: A head is larger than the limit
    Given a server with the limits idle 4 s, head 4 s, 200 head bytes, 2000 body bytes
    And a kept connection on which nothing was sent
    When the rest of the request arrives
    Then the caller is answered with 431
    And no request of it is handled

  # Guards against requests that were read, or had arrived, as a stop closed connections.
  Scenario Outline: A server closes as the request of a <kind> connection arrives, <sent> sent
    Given a server with the limits idle 4 s, head 4 s, 1000 head bytes, 2000 body bytes
    And a <kind> connection on which <sent> was sent
    When the rest of the request arrives as the server closes
    Then the caller is answered with 200

    Examples:
      | kind | sent             |
      | new  | nothing          |
      | kept | nothing          |
      | kept | half of the head |
      | kept | half of the body |

  # Guards against the same in the server of the own interface of callers.
  Scenario Outline: The own interface, the rest arrives <when> as its time runs out, <sent> sent
    Given a server of the own interface with the limits idle 0.4 s and body 0.4 s
    And a <kind> connection on which <sent> was sent
    When the rest of the request arrives <when>
    Then the caller is answered with 200

    Examples:
      | kind | sent             | when                                    |
      | new  | nothing          | while the loop is blocked               |
      | kept | nothing          | while the loop is blocked               |
      | kept | half of the head | while the loop is blocked               |
      | kept | half of the body | while the loop is blocked               |
      | kept | nothing          | after the blocked loop looked for bytes |
      | kept | half of the head | after the blocked loop looked for bytes |
      | kept | half of the body | after the blocked loop looked for bytes |

  # Guards against connections of the own interface that are never closed.
  Scenario Outline: The own interface, <sent> sent, then a byte follows each <pace_s> s
    Given a server of the own interface with the limits idle 0.8 s and body 0.8 s
    And a kept connection on which <sent> was sent
    When its caller goes on with a byte each <pace_s> s
    Then its connection is closed within 3 s
    And no request of it is handled

    Examples:
      | sent             | pace_s |
      | nothing          | 9      |
      | half of the head | 9      |
      | half of the head | 0.05   |
      | half of the body | 9      |
      | half of the body | 0.05   |
