Feature: Settings are checked as a whole
  Every finding names the flag or variable that it came from.

  Scenario: Several bad settings are reported together
    Given the flags
      | caller-port | abc |
      | address     | foo |
    And the variables
      | SESAMEFRONT_LOG_LEVEL | loud |
      | SESAMEFRONT_LOG_LEVL  | info |
    When the settings are read
    Then the settings' findings stand at
      | SESAMEFRONT_LOG_LEVL  |
      | --address             |
      | --caller-port         |
      | SESAMEFRONT_LOG_LEVEL |

  Scenario: A flag goes before a variable, a variable before a default
    Given the flags
      | caller-port | 9100 |
    And the variables
      | SESAMEFRONT_CALLER_PORT   | 9200                              |
      | SESAMEFRONT_OPERATOR_PORT | 9300                              |
      | SESAMEFRONT_STORE_URL     | http://10.0.0.1:1,http://10.0.0.2:1 |
    When the settings are read
    Then the callers' port is 9100 from "--caller-port"
    And the operators' port is 9300 from "SESAMEFRONT_OPERATOR_PORT"
    And the members' port is 8082 from "default"
    And 2 store addresses are read

  Scenario: Two ports of one host can't be the same
    Given the flags
      | peer-port | 8080 |
    When the settings are read
    Then the settings' findings stand at
      | --peer-port |
