Feature: The record of versions keeps what its owner has missed

  # Guards against an owner that was out of step, and overwrites the record of a version
  # that came and went meanwhile with its own view.
  Scenario Outline: The owner knows v1, and meanwhile <meanwhile>
    Given the owner of the record of versions, which has written v1
    When <meanwhile>, and then v3 joins
    Then the record has the versions "<versions>"
    And the owner knows the versions "<versions>"

    Examples:
      | meanwhile                                 | versions |
      | nothing happened                          | v1 v3    |
      | another owner wrote that v2 had served    | v1 v2 v3 |
      | the store refuses reads for a time        | v1 v3    |
