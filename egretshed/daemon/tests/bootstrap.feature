Feature: The first configuration is written by a confirmed plan

  Scenario: The bootstrap key is valid until the first configuration version
    # Guards against a new system that cannot be configured, and against a bootstrap key
    # that stays valid afterwards.
    Given a node with an empty table and the bootstrap key "start-key"
    When the example configuration is proposed and confirmed with the bootstrap key
    Then the active configuration has version 1
    And the bootstrap key is rejected with status 401
    And the key of a configured operator is accepted
    And a caller's request completes

  Scenario: An unknown key cannot write the first configuration
    # Guards against unauthorized clients that configure a new system.
    Given a node with an empty table and the bootstrap key "start-key"
    When the example configuration is proposed with the key "other-key"
    Then the proposal is rejected with status 401
    And the active configuration has version 0
