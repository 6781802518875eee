Feature: All settings are validated together
  Every finding names the flag or variable that it concerns.

  Scenario: Several invalid settings are reported together
    Given the flags
      | caller-port | abc |
      | address     | foo |
    And the variables
      | SESAMEFRONT_LOG_LEVEL | loud |
      | SESAMEFRONT_LOG_LEVL  | info |
    When the settings are read
    Then the findings about the settings are reported at
      | SESAMEFRONT_LOG_LEVL  |
      | --address             |
      | --caller-port         |
      | SESAMEFRONT_LOG_LEVEL |

  Scenario: A flag takes precedence over a variable, a variable over a default
    Given the flags
      | caller-port | 9100 |
    And the variables
      | SESAMEFRONT_CALLER_PORT   | 9200                              |
      | SESAMEFRONT_OPERATOR_PORT | 9300                              |
      | SESAMEFRONT_STORE_URL     | http://10.0.0.1:1,http://10.0.0.2:1 |
    When the settings are read
    Then the caller port is 9100 from "--caller-port"
    And the operator port is 9300 from "SESAMEFRONT_OPERATOR_PORT"
    And the peer port is 8082 from "default"
    And 2 store URLs are read

  Scenario: Two ports of one entry host must differ
    Given the flags
      | peer-port | 8080 |
    When the settings are read
    Then the findings about the settings are reported at
      | --peer-port |
