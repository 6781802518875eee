@promise-budget
Feature: Bursts that exceed the capacity of a pool
  Entry hosts share the slots of a pool according to their demand.

  Background:
    Given 7 entry hosts that share the pools of a site

  Scenario: Slots are lent to the entry hosts that receive more requests in an uneven burst
    When "planner-api" receives 1.3 times its capacity, half of it at one entry host
    Then at least 95 % of the requests that the slots could serve are answered in time
    And the loans never exceeded the slots of any worker
    And no request that was reported as not run was run
    And half of the refusals were returned within 100 ms
