Feature: A response that is cut within its head is no response

  # Guards against a 200 with an empty or short body, framed as whole, for a server that
  # stopped in the middle of the head of its response and closed.
  Scenario Outline: Servers close at <place>
    Given 3 entry nodes and 2 servers of each service
    And all servers close within the head of their responses, at <place>
    When 6 "read" requests are sent
    Then each is answered 502, without the signature of a server
    When 6 "book" requests are sent
    Then each is answered 502, without the signature of a server
    When 6 "digest" requests are sent
    Then each is answered 502, without the signature of a server

    Examples:
      | place               |
      | cut_in_status       |
      | cut_after_status    |
      | cut_in_name         |
      | cut_in_length       |
      | cut_after_signature |
      | cut_before_end      |
