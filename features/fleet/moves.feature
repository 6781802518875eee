Feature: Choosing host moves between pools

  Scenario Outline: A move requires a lasting shortage or surplus
    Given a desk pool of <desk> hosts and a spare pool of <spare> hosts, each with a target size of 8
    And <lost> desk hosts have been lost for <lost minutes> minutes
    And the last move into the desk pool was <moved hours> hours ago
    Then the desk pool's leader moves <desk moves> host and the spare pool's leader <spare moves>

    Examples:
      | desk | spare | lost | lost minutes | moved hours | desk moves | spare moves |
      | 8    | 8     | 0    | 0            | 100         | 0          | 0           |
      | 8    | 8     | 1    | 5            | 100         | 0          | 0           |
      | 8    | 8     | 1    | 11           | 100         | 0          | 1           |
      | 8    | 6     | 1    | 11           | 100         | 0          | 0           |
      | 9    | 7     | 1    | 60           | 1           | 0          | 0           |
      | 9    | 7     | 0    | 0            | 5           | 0          | 0           |
      | 9    | 7     | 0    | 0            | 7           | 1          | 0           |
