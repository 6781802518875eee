@real-clock
Feature: Callers of an organisation are known by their API keys
  Keys come and go with the versions of the configuration. The newest version
  that an entry host knows decides for each call.

  # Guards against work that runs for nobody's account.
  @promise-configuration
  Scenario Outline: A call without a valid key is turned away and never runs
    Given an entry host whose callers need keys
    When a caller submits with the authorization <authorization>
    Then it is turned away with 401 and the error "<error>"
    And no workflow is stored

    Examples:
      | authorization                | error                                   |
      | none                         | Authorization: Bearer KEY is missing    |
      | "Bearer "                    | Authorization must be one Bearer KEY    |
      | "Basic a2V5LW9mLWE="         | Authorization must be one Bearer KEY    |
      | "Bearer key-of-a key-of-b"   | Authorization must be one Bearer KEY    |
      | "key-of-a"                   | Authorization must be one Bearer KEY    |
      | "Bearer nobodys"             | unknown key                             |
      | "Bearer KEY-OF-A"            | unknown key                             |
      | 2 times "Bearer key-of-a"    | Authorization must be one Bearer KEY    |
      | "Bearer key-of-both"         | unknown key                             |
      | a key of 8000 characters     | Authorization must be one Bearer KEY    |

  @promise-configuration
  Scenario: A header beyond the limit of all headers is refused and never runs
    Given an entry host whose callers need keys
    When a caller submits with the authorization a key of 20000 characters
    Then the status is 431
    And no workflow is stored

  @promise-configuration
  Scenario: Every kind of call needs a key, and public queues need none
    Given an entry host whose callers need keys
    Then with the key "key-of-a" the calls of a queue are answered with 200, 200, 200, 200
    And with the key "nobodys" the calls of a queue are answered with 401, 401, 401, 401
    And with the key "nobodys" the calls of a public queue are answered with 200, 200, 200, 200
    And without a key the calls of a public queue are answered with 200, 200, 200, 200
    And with the key "nobodys" the calls of no queue are answered with 404, 404, 404, 404

  # Guards against connections that keep the rights of their first call.
  @promise-configuration
  Scenario: Keys are added and withdrawn while a connection is open
    Given an entry host whose callers need keys
    And a caller with an open connection
    When the operator replaces "key-of-a" by "next-of-a"
    Then on the open connection "key-of-a" is answered with 401 within 1 s
    And on the open connection "next-of-a" is answered with 200

  # Guards against rights that come back with an old answer of the store.
  @promise-configuration
  Scenario: An answer of the store with an older version brings no key back
    Given an entry host whose callers need keys
    And a caller with an open connection
    When the operator replaces "key-of-a" by "next-of-a"
    Then on the open connection "key-of-a" is answered with 401 within 1 s
    When the store reports the first version again
    Then on the open connection "key-of-a" is answered with 401 throughout 1 s
    When the entry host restarts with version 5 in the store
    Then on the open connection "key-of-a" is answered with 401
    And on the open connection "next-of-a" is answered with 200

  Scenario: Keys appear in no log line, no stored value, no metric and no answer
    Given an entry host whose callers need keys
    When calls are made with valid, withdrawn, unknown and doubled keys
    Then no log line, stored value, metric or answer contains a key or its digest
    And the refused keys are counted in a metric
    And log lines name the queue and the version of the configuration

  Scenario: Refused keys are logged at a bounded rate and counted whole
    Given an entry host whose callers need keys
    When 100 calls with unknown keys are made at once
    Then at most 20 of them are logged, and the metric counts 100

  Scenario: Where callers need no keys, keys are ignored
    Given an entry host whose callers need no keys
    Then with the key "nobodys" the calls of a queue are answered with 200, 200, 200, 200
    And without a key the calls of a queue are answered with 200, 200, 200, 200
