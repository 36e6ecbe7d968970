Feature: A stopping node decides about many waiting requests in little time

  # Guards against a stop whose event loop is blocked, because each waiting request is
  # compared with every other one every 50 ms.
  Scenario: 1,600 requests wait for stages when the node begins to stop
    Given a relay whose requests wait for their stages
    Then deciding about 1,600 waiting requests takes at most 8 times as long as about 400
