Feature: A failure domain change that violates a limit is reported

  Scenario Outline: <case>
    # Guards against a benchmark that passes whatever it measures.
    Given a domain that is out from 100 s to 130 s
    And a call in that domain from <start> s to <end> s that ended <outcome>
    And <before> of 100 requests attained before and <out> of 100 while it was out
    Then the limits "<limits>" are violated

    Examples:
      | case                       | start | end | outcome   | before | out | limits     |
      | a call that ends by itself | 99    | 104 | completed | 100    | 99  |            |
      | a call that is cut off     | 99    | 101 | cancelled | 100    | 100 | P8         |
      | a start just in time       | 101.9 | 103 | completed | 100    | 100 |            |
      | a late start               | 102.1 | 103 | completed | 100    | 100 | P3         |
      | a start after its return   | 130.1 | 131 | completed | 100    | 100 |            |
      | too little attained        | 90    | 91  | completed | 100    | 98  | attainment |
