Feature: Options that the operator sets in the environment of an entry host
  A wrong value must not start an entry host that behaves in another way than
  its operator expects.

  Scenario Outline: Looking ahead is off unless it is turned on
    When the variable "SESAMEFRONT_LOOK_AHEAD" is <value>
    Then the entry host <result>

    Examples:
      | value   | result                                           |
      | not set | does not look ahead                              |
      | "on"    | looks ahead                                      |
      | "off"   | does not look ahead                              |
      | "false" | does not start and names "SESAMEFRONT_LOOK_AHEAD" |
      | ""      | does not start and names "SESAMEFRONT_LOOK_AHEAD" |
