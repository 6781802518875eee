Feature: Decisions about machines and hosts, against the load that each answers

  Scenario: A turn's first arrivals tell its need before the work has piled up
    Given a forecast of a pool's demand
    When 40 workflows a second of 5 core-seconds each come in for 600 ms
    Then the expected use is between 160 and 260 cores
    When 3 s pass without arrivals
    Then the expected use is between 0 and 0 cores

  Scenario: Expected work takes spare machines, and none of another pool
    Given 8 machines in "planner-api", 8 in "dish-desk" and 4 spare ones
    When "planner-api" has work for 2 machines and expects 20
    Then 4 machines are to move to "planner-api", all of them spare

  Scenario: Work that waits takes empty machines of other pools too
    Given 8 machines in "planner-api", 8 in "dish-desk" and 4 spare ones
    When "planner-api" has work for 20 machines and expects 0
    Then 8 machines are to move to "planner-api", 4 of them spare

  Scenario: Pools of which nothing is known keep their machines
    Given 8 machines in "planner-api", 8 in "dish-desk" and 4 spare ones
    When nothing is known of "dish-desk" and every machine is idle for 60 s
    Then machines of "planner-api" only are to move to the spare pool
