Feature: Operators' page
  Every entry host shows pools, budgets, waves and recent decisions.

  Background:
    Given a fleet of 3 entry hosts with its history recorded

  Scenario: The page shows a wave and what consumes the budget
    When a fleet wave over "sky-lookup" is declared
    And 1 seconds pass for the fleet
    Then the page of every entry host shows the wave, 2 unavailable hosts and their cause
    And the page escapes text entered by operators
