Feature: A quarantine that begins while a server is silent does not end its request

  # Guards against the placement of a second server refusing the request, although the
  # first one goes on.
  Scenario Outline: A <kind> request, its server <outcome>
    Given the placement refuses a "<kind>" request after its first server
    When the first server is "<outcome>"
    Then the caller gets a whole response

    Examples:
      | kind      | outcome       |
      | read      | silent        |
      | resumable | silent        |
      | resumable | silent_inside |
