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
      | organisations  | 5    |
      | authorizations | 6    |

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

  Scenario: A submission with a longer text than a caller may send is refused
    When a submission with a text of 4001 bytes is decoded
    Then it is refused
    When a submission with a text of 4000 bytes is decoded
    Then it is read

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

  # Guards against leaders that end one after the other because of an entry that another program wrote.
  Scenario Outline: A registration that names no host that could be called is ignored
    Given the registration of a host
    When its field "<field>" is <value>
    Then it names no host

    Examples:
      | field    | value                     |
      | address  | "127.0.0.1:90100"         |
      | address  | "127.0.0.1:0"             |
      | address  | "127.0.0.300:80"          |
      | address  | "1.2.3:80"                |
      | address  | "....:80"                 |
      | address  | "127.0.0.1:80:80"         |
      | service  | ""                        |
      | zone     | ""                        |
      | capacity | null                      |
      | capacity | {"cpu":-1}                |
      | capacity | {"cpu":1e300}             |
      | capacity | {"cpu":1,"memMb":-1}      |
      | capacity | {"cpu":1,"gpu":"1"}       |
      | born     | 1.5                       |
      | born     | 1e308                     |

  # Guards against calls that fail for ever because the id cannot be sent in a header.
  Scenario Outline: A registration whose id cannot be sent in a header is ignored
    Given the registration of a host
    When its id is <id>
    Then it names no host

    Examples:
      | id         |
      | ""         |
      | " i-1"     |
      | "i-1\\r\\nx" |
      | "häuser"   |
      | "\\ud800"   |

  Scenario: Random registrations name hosts that can be called, or none
    When 3000 registrations with random fields with seed 9 are read
    Then each names no host, or one whose address, id and amounts are valid

  # Guards against a limit that is lifted, or a key that works for somebody else, because an entry is invalid.
  Scenario Outline: An invalid organisation costs only itself
    Given the organisations "first", "second" and "third" with a key each
    When the second organisation is <entry>
    Then the keys of "first" and "third" identify them
    And the key of the second organisation identifies nobody

    Examples:
      | entry                                                              |
      | null                                                               |
      | 7                                                                  |
      | "second"                                                           |
      | []                                                                 |
      | {"apiKeys":["key-of-second"]}                                      |
      | {"name":"","apiKeys":["key-of-second"]}                            |
      | {"name":3,"apiKeys":["key-of-second"]}                             |
      | {"name":"first","apiKeys":["key-of-second"]}                       |
      | {"name":"second","apiKeys":"key-of-second"}                        |
      | {"name":"second","apiKeys":{"0":"key-of-second"}}                  |
      | {"name":"second","apiKeys":[["key-of-second"],null,""," ",1]}      |
      | {"name":"second","apiKeys":["key-of-second"],"weight":-1}          |
      | {"name":"second","apiKeys":["key-of-second"],"weight":"5"}         |
      | {"name":"second","apiKeys":["key-of-second"],"priority":null}      |
      | {"name":"second","apiKeys":["key-of-second"],"cap":5}              |
      | {"name":"second","apiKeys":["key-of-second"],"cap":null}           |
      | {"name":"second","apiKeys":["key-of-second"],"cap":[1,2,3]}        |
      | {"name":"second","apiKeys":["key-of-second"],"cap":{"cpu":-1}}     |
      | {"name":"second","apiKeys":["key-of-second"],"cap":{"memMb":"1"}}  |
      | {"__proto__":{"name":"second","apiKeys":["key-of-second"]}}        |

  Scenario: A key of two organisations identifies neither, and their other keys work
    Given the organisations "first", "second" and "third" with a key each
    When the second organisation is {"name":"__proto__","apiKeys":["key-of-second","key-of-first"]}
    Then the key "key-of-first" identifies nobody
    And the key "key-of-second" identifies "__proto__"
    And the key "key-of-third" identifies "third"

  Scenario: Random organisations beside valid ones
    When 2000 random lists of organisations with seed 7 are decoded between valid ones
    Then every key that is configured once in a valid entry identifies its organisation, and no other key does

  Scenario: Random headers identify only who sent one configured key
    When 5000 random sets of authorization headers with seed 8 are read
    Then each identifies the organisation of its key if it is one bearer key, and nobody otherwise

  Scenario: A configuration with as many keys as a stored value holds is read
    When a configuration of 40000 keys is decoded
    Then every key identifies its organisation
