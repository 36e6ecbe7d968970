Feature: The first configuration is written by a plan like any other

  Scenario: The bootstrap key counts until there is a first version
    # Guards against a system that cannot be configured, and a bootstrap key that stays.
    Given a node with an empty table and the bootstrap key "start-key"
    When the bootstrap key proposes and confirms the example configuration
    Then the configuration in force has version 1
    And the bootstrap key is refused with status 401
    And a declared operator's key is accepted
    And a caller's request completes

  Scenario: A wrong key writes nothing
    # Guards against strangers who configure a fresh system.
    Given a node with an empty table and the bootstrap key "start-key"
    When the key "other-key" proposes the example configuration
    Then it is refused with status 401
    And the configuration in force has version 0
