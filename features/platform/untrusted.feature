Feature: One malformed message costs only itself
  Callers, hosts and operators may send anything, and other programs may write
  under the same prefixes of the store.

  Scenario Outline: Decoders accept any input without an error
    When 2000 random values with seed <seed> are decoded as <kind>
    Then no decoder has failed

    Examples:
      | kind           | seed |
      | registrations  | 1    |
      | configurations | 2    |
      | waves          | 3    |
      | submissions    | 4    |

  Scenario Outline: A submission that no leader could hold is refused
    When a submission with the steps <steps> and <count> occurrences is decoded
    Then it is refused

    Examples:
      | steps                                                | count      |
      | [{"count":1000000000,"cpu":1}]                       | 0          |
      | [{"count":6000,"cpu":1},{"count":6000,"cpu":1}]      | 0          |
      | [{"count":1,"cpu":1}]                                | 1000000000 |
      | [{"count":1.5,"cpu":1}]                              | 0          |
      | [{"count":-1,"cpu":1}]                               | 0          |
      | [{"count":200,"cpu":1}]                              | 51         |
      | [{"count":1,"cpu":-16000}]                           | 0          |
      | [{"count":1,"memMb":-1}]                             | 0          |
      | [{"count":1,"estimateMs":-5}]                        | 0          |
      | [{"count":1,"cpu":1},{"count":1,"after":[-1]}]       | 0          |
      | [{"count":1,"cpu":1},{"count":1,"after":[0.5]}]      | 0          |

  Scenario Outline: A registration with a field of another type names no host
    Given the registration of a host
    When its field "<field>" is <value>
    Then it names no host

    Examples:
      | field    | value  |
      | service  | 7      |
      | address  | null   |
      | zone     | ["a"]  |
      | state    | "gone" |
      | capacity | "16"   |
      | sequence | "x"    |
      | labels   | 3      |
