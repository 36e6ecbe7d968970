Feature: Routes, customers and configurations

  # Guards against requests that go where another route should have taken them.
  Scenario Outline: A request for <host> <target>
    Given routes for h/ and h/a/ and h/a/b/ and g/a/
    When a request for host "<host>" and target "<target>" is matched
    Then route "<route>" takes it

    Examples:
      | host   | target      | route  |
      | h      | /a/b/c      | h/a/b/ |
      | h      | /a/b/       | h/a/b/ |
      | h      | /a/b        | h/a/   |
      | h      | /a/bc/d     | h/a/   |
      | h      | /x?y=/a/b/  | h/     |
      | h:8080 | /a/x        | h/a/   |
      | H      | /a/x        | h/a/   |
      | g      | /x          | none   |
      | k      | /a/         | none   |

  # Guards against a configuration that goes back, or one that cannot be read.
  Scenario Outline: Versions <versions> arrive
    When configurations with versions <versions> arrive
    Then version <in_force> is in force

    Examples:
      | versions  | in_force |
      | 2         | 2        |
      | 2 5       | 5        |
      | 5 2       | 5        |
      | 5 bad     | 5        |
      | bad       | 0        |
      | 3 removed | 3        |

  # Guards against an evacuated domain that is forgotten or never taken back.
  Scenario Outline: Evacuations <rows>
    When evacuation rows <rows> arrive
    Then the domains taken out are "<domains>"

    Examples:
      | rows        | domains |
      | +a          | a       |
      | +a +b       | a b     |
      | +a -a       |         |
      | +a +b -a    | b       |
      | -a          |         |
