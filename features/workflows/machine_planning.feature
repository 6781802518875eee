Feature: Demand forecast and assignment of machines to pools

  Scenario: The first arrivals of a burst predict its demand before work accumulates
    Given a forecast of a pool's demand
    When 40 workflows per second of 5 core-seconds each arrive for 600 ms
    Then the predicted use is between 160 and 260 cores
    When 3 s pass without arrivals
    Then the predicted use is between 0 and 0 cores

  Scenario: Predicted work gets spare machines but none of another pool
    Given 8 machines in "planner-api", 8 in "dish-desk" and 4 spare ones
    When "planner-api" has work for 2 machines and a predicted demand of 20 machines
    Then 4 machines are planned to move to "planner-api", all of them spare

  Scenario: Waiting work also gets empty machines of other pools
    Given 8 machines in "planner-api", 8 in "dish-desk" and 4 spare ones
    When "planner-api" has work for 20 machines and a predicted demand of 0 machines
    Then 8 machines are planned to move to "planner-api", 4 of them spare

  Scenario: Pools without observed work keep their machines
    Given 8 machines in "planner-api", 8 in "dish-desk" and 4 spare ones
    When no work for "dish-desk" has been observed and every machine is idle for 60 s
    Then only machines of "planner-api" are planned to move to the spare pool

  Scenario: A machine is not idle for the time in which the leader could not act
    Given an idle machine that the leader reviews every 100 ms
    When 5 s of reviews pass
    Then the machine counts as idle for 5 s
    When 4 s pass without reviews
    And 1 s of reviews pass
    Then the machine counts as idle for 1 s
