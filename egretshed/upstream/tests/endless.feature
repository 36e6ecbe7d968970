Feature: Responses without an end are given up at once, in bounded memory

  # Guards against a server in trouble that sends bytes until the connection is closed.
  # `pace` is the time between writes of `size` bytes.
  Scenario Outline: <part> of <size> bytes each <pace_ms> ms
    Given a server that sends <part> of <size> bytes each <pace_ms> ms without end
    When a request is sent with limits of 1 s for the head and 0.5 s for 1000 body bytes
    Then it failed within <most_s> s and may have run
    And at most 4 MB more memory was used
    And the server saw its connection closed

    Examples:
      | part             | size  | pace_ms | most_s |
      | garbage          | 16384 | 0       | 1.5    |
      | garbage          | 1     | 50      | 1.5    |
      | header lines     | 16384 | 0       | 1.5    |
      | header lines     | 20    | 50      | 1.5    |
      | interim answers  | 4096  | 0       | 1.5    |
      | interim answers  | 30    | 50      | 1.5    |
      | a chunked body   | 16384 | 0       | 5      |
      | a chunked body   | 1     | 50      | 1.5    |
      | a chunk size     | 16384 | 0       | 2.5    |
      | a chunk size     | 1     | 50      | 2.5    |
      | trailers         | 16384 | 0       | 2.5    |
      | trailers         | 20    | 50      | 2.5    |
      | an unframed body | 16384 | 0       | 5      |
      | an unframed body | 1     | 50      | 1.5    |

  # Guards against cutting a slow response that makes progress.
  Scenario Outline: A body of <size> bytes, <step> bytes each <pace_ms> ms, is <outcome>
    Given a server that sends a body of <size> bytes, <step> bytes each <pace_ms> ms
    When a request is sent with limits of 1 s for the head and 0.5 s for 1000 body bytes
    Then the request ended "<outcome>" with <size> bytes

    Examples:
      | size  | step | pace_ms | outcome  |
      | 30000 | 1000 | 100     | complete |
      | 20000 | 2500 | 400     | complete |
      | 5000  | 5000 | 900     | complete |
      | 9000  | 1    | 200     | failed   |
      | 9000  | 400  | 300     | failed   |
