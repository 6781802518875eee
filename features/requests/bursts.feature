@promise-budget
Feature: A burst that exceeds its pool
  Entry hosts share a pool's slots while demand is uneven.

  Background:
    Given 7 entry hosts that share the pools of a site

  Scenario: Slots follow an uneven burst
    When "planner-api" is asked for 1.3 times its capacity, half of it at one entry host
    Then at least 95 % of what the slots could serve is answered in time
    And no worker ever had more loans than slots
    And no request that was called not run was run
    And half of the refusals came within 100 ms
