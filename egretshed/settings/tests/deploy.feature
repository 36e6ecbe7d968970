Feature: What is deployed agrees with what is declared

  # Guards against a build that installs other versions than the tests use.
  Scenario: Requirements of the build
    Then requirements.txt names exactly the dependencies of pyproject.toml

  # Guards against a template from which no valid settings come.
  Scenario Outline: The template filled in for <vm>
    When the settings template is filled in for <vm>
    Then the settings are valid and "<path>" is <value>

    Examples:
      | vm      | path                   | value  |
      | a small | node.link_mbps         | 5.0    |
      | a small | node.cores             | 1.0    |
      | a large | node.link_mbps         | 1000.0 |
      | a large | bounds.retry_slack     | 54.0   |
      | a large | listeners.callers      | 10.1.0.41:8625 |
